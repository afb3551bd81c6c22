package org.ragwortpick.config;

/**
 * Customer whose requests share one capacity limit.
 *
 * @param name unique name
 * @param weight share of the capacity relative to other workspaces of the same priority
 */
public record Workspace(String name, int weight) {}
