/**
 * Rollouts of another version of a service: how an entry VM divides the traffic between two
 * versions and counts their responses, and how the leader decides from these counts.
 */
package org.ragwortpick.rollout;
