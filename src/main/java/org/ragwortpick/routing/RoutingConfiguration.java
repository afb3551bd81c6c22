package org.ragwortpick.routing;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.List;
import org.ragwortpick.common.Json;

/**
 * Routes, services, workspaces and limits under a number that the operators choose.
 *
 * @param number number of the configuration; the highest number takes effect
 * @param routes routes
 * @param services profiles of the services of the routes and of their stages
 * @param workspaces workspaces; empty if requests need no key
 * @param limits limits of the requests of callers
 * @param source text that the operator sent, returned unchanged when the configuration is read
 */
public record RoutingConfiguration(
    long number,
    List<Route> routes,
    List<ServiceProfile> services,
    List<RoutedWorkspace> workspaces,
    CallerLimits limits,
    String source) {

  /** Replaces absent values by their defaults. */
  public RoutingConfiguration {
    routes = routes == null ? List.of() : List.copyOf(routes);
    services = services == null ? List.of() : List.copyOf(services);
    workspaces = workspaces == null ? List.of() : List.copyOf(workspaces);
    limits = limits == null ? CallerLimits.DEFAULT : limits;
    source = source == null ? "" : source;
  }

  /**
   * Encodes the configuration.
   *
   * @return JSON text
   */
  public String encode() {
    try {
      return Json.MESSAGES.writeValueAsString(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("routing configuration " + number + " cannot be encoded", e);
    }
  }

  /**
   * Decodes a configuration.
   *
   * @param text JSON text
   * @return the configuration
   * @throws IllegalArgumentException if the text is not a routing configuration
   */
  public static RoutingConfiguration decode(String text) {
    try {
      return Json.MESSAGES.readValue(text, RoutingConfiguration.class);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "the routing configuration cannot be decoded; run the same release on all VMs", e);
    }
  }
}
