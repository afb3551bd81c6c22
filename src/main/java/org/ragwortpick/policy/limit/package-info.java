/** Limits, ejection and cold start detection per upstream. */
package org.ragwortpick.policy.limit;
