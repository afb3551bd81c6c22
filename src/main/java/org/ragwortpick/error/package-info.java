/** Typed request errors and their responses, each with a message and a remedy. */
package org.ragwortpick.error;
