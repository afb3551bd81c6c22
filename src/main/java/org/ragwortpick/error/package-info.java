/** Typed errors whose messages name the remedy. */
package org.ragwortpick.error;
