package org.ragwortpick.routing;

/**
 * Service that receives a share of the requests of a route.
 *
 * @param service name of the service
 * @param weight share, relative to the weights of the other services of the route
 */
public record WeightedService(String service, long weight) {}
