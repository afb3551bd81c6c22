package org.ragwortpick.policy.admission;

/**
 * Workspace and priority of work.
 *
 * @param priority priority, 0 is the most urgent
 * @param workspace name of the workspace; empty if the route is open
 */
public record WorkOwner(int priority, String workspace) {}
