/** Execution of non-idempotent service calls. */
package org.ragwortpick.entry.call;
