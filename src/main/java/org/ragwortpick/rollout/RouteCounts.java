package org.ragwortpick.rollout;

/**
 * Responses of the old and of the new version on one route.
 *
 * @param route name of the route, or the kind of batch call
 * @param oldVersion responses of the other versions
 * @param newVersion responses of the new version
 */
public record RouteCounts(String route, VersionCounts oldVersion, VersionCounts newVersion) {}
