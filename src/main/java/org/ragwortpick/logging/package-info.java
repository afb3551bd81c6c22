/** Log output as JSON lines. */
package org.ragwortpick.logging;
