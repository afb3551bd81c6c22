/** Plain and non-idempotent service calls. */
package org.ragwortpick.entry.call;
