package org.ragwortpick.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Routing configuration prepared for look-ups. Immutable. */
public final class RoutingTable {

  private final RoutingConfiguration configuration;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, RoutedWorkspace> workspacesByKey = new HashMap<>();
  private final Map<String, ServiceProfile> services = new HashMap<>();

  /**
   * Prepares a configuration.
   *
   * @param configuration a valid configuration
   */
  public RoutingTable(RoutingConfiguration configuration) {
    this.configuration = configuration;
    for (Route route : configuration.routes()) {
      routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
    routesByHost.values().forEach(routes -> routes.sort(longestFirst));
    for (RoutedWorkspace workspace : configuration.workspaces()) {
      workspace.keys().forEach(key -> workspacesByKey.put(key, workspace));
    }
    configuration.services().forEach(service -> services.put(service.name(), service));
  }

  /**
   * Returns the number of the configuration.
   *
   * @return the number
   */
  public long number() {
    return configuration.number();
  }

  /**
   * Returns the limits of what callers may send.
   *
   * @return the limits
   */
  public CallerLimits limits() {
    return configuration.limits();
  }

  /**
   * Finds the route with the longest prefix of a path.
   *
   * @param hostHeader value of the Host header, with or without a port
   * @param path path without its query, as the caller sent it
   * @return the route, if there is one
   */
  public Optional<Route> match(String hostHeader, String path) {
    return routesByHost.getOrDefault(hostName(hostHeader), List.of()).stream()
        .filter(route -> path.startsWith(route.pathPrefix()))
        .findFirst();
  }

  private static String hostName(String header) {
    int colon = header.lastIndexOf(':');
    String host = colon > 0 && header.indexOf(']') < colon ? header.substring(0, colon) : header;
    return host.toLowerCase(Locale.ROOT);
  }

  /**
   * Tells whether callers need a key on routes that are not open.
   *
   * @return whether there are workspaces
   */
  public boolean needsKeys() {
    return !configuration.workspaces().isEmpty();
  }

  /**
   * Finds the workspace of a key.
   *
   * @param key key of a caller
   * @return the workspace, if the key is known
   */
  public Optional<RoutedWorkspace> workspaceOf(String key) {
    return Optional.ofNullable(workspacesByKey.get(key));
  }

  /**
   * Finds what the upstreams of a service bear.
   *
   * @param service name of the service
   * @return the profile, if the service is listed
   */
  public Optional<ServiceProfile> service(String service) {
    return Optional.ofNullable(services.get(service));
  }

  /**
   * Lists all services.
   *
   * @return the services
   */
  public List<ServiceProfile> services() {
    return configuration.services();
  }
}
