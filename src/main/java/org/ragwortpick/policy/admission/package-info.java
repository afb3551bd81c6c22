/** Admission of requests by priority, fair share and minimum share. */
package org.ragwortpick.policy.admission;
