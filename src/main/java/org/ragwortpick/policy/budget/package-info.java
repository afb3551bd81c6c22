/** Deadline, retry and hedge budgets from measured times. */
package org.ragwortpick.policy.budget;
