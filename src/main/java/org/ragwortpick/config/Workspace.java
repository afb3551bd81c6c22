package org.ragwortpick.config;

/**
 * Customer whose requests share one limit.
 *
 * @param name unique name
 * @param weight share relative to other workspaces of the same rank
 */
public record Workspace(String name, int weight) {}
