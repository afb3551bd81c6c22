/** Admission of requests by rank, fair share and minimum share. */
package org.ragwortpick.policy.admission;
