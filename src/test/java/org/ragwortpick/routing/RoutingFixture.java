package org.ragwortpick.routing;

import java.util.Arrays;
import java.util.List;

/** Routing configurations for tests. */
public final class RoutingFixture {

  private RoutingFixture() {}

  public static Route route(String name, String host, String prefix, String service) {
    return new Route(
        name,
        host,
        prefix,
        RequestKind.IDEMPOTENT,
        1_000,
        100,
        0,
        List.of(new WeightedService(service, 1)),
        2,
        List.of(),
        false,
        false);
  }

  /** Creates a streaming route of service {@code s} whose requests run at most once. */
  public static Route streaming(int priority, List<RouteStage> stages) {
    return new Route(
        "r",
        "h",
        "/",
        RequestKind.STREAMING,
        5_000,
        2_000,
        priority,
        List.of(new WeightedService("s", 1)),
        1,
        stages,
        false,
        false);
  }

  public static ServiceProfile service(String name) {
    return new ServiceProfile(name, 0, null);
  }

  public static BatchProfile batch(
      int maxPieces, double callMs, double pieceMs, long resultCapacityBytes) {
    return new BatchProfile(1, 2, maxPieces, callMs, pieceMs, resultCapacityBytes, 4_000);
  }

  public static RoutedWorkspace workspace(String name, String... keys) {
    return new RoutedWorkspace(name, Arrays.asList(keys), null);
  }

  public static RoutingConfiguration configuration(long number, Route... routes) {
    return new RoutingConfiguration(
        number,
        List.of(routes),
        List.of(service("s1"), service("s2")),
        List.of(workspace("w1", "k1")),
        null,
        "source " + number);
  }
}
