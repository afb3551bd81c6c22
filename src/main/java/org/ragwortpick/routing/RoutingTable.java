package org.ragwortpick.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Lookup table of a routing configuration. Immutable. */
public final class RoutingTable {

  private final RoutingConfiguration configuration;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, RoutedWorkspace> workspacesByKey = new HashMap<>();
  private final Map<String, ServiceProfile> services = new HashMap<>();

  /**
   * Creates the table of a configuration.
   *
   * @param configuration a valid configuration
   */
  public RoutingTable(RoutingConfiguration configuration) {
    this.configuration = configuration;
    for (Route route : configuration.routes()) {
      String host = HostNames.withoutPort(route.host());
      routesByHost.computeIfAbsent(host, name -> new ArrayList<>()).add(route);
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
   * Returns the limits of the requests of callers.
   *
   * @return the limits
   */
  public CallerLimits limits() {
    return configuration.limits();
  }

  /**
   * Finds the route of a host with the longest path prefix that matches.
   *
   * @param hostHeader value of the Host header, with or without a port
   * @param path path without its query, as the caller sent it
   * @return the route, or empty if none matches
   */
  public Optional<Route> match(String hostHeader, String path) {
    return routesByHost.getOrDefault(HostNames.withoutPort(hostHeader), List.of()).stream()
        .filter(route -> path.startsWith(route.pathPrefix()))
        .findFirst();
  }

  /**
   * Tells whether callers need a workspace key on routes that are not open.
   *
   * @return true if the configuration has workspaces
   */
  public boolean needsKeys() {
    return !configuration.workspaces().isEmpty();
  }

  /**
   * Finds the workspace of a key.
   *
   * @param key key of a caller
   * @return the workspace, or empty if no workspace has the key
   */
  public Optional<RoutedWorkspace> workspaceOf(String key) {
    return Optional.ofNullable(workspacesByKey.get(key));
  }

  /**
   * Finds the profile of a service.
   *
   * @param service name of the service
   * @return the profile, or empty if the service has none
   */
  public Optional<ServiceProfile> service(String service) {
    return Optional.ofNullable(services.get(service));
  }

  /**
   * Lists the profiles of all services.
   *
   * @return the profiles
   */
  public List<ServiceProfile> services() {
    return configuration.services();
  }
}
