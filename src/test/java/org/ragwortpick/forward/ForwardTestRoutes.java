package org.ragwortpick.forward;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.Inventory;
import org.ragwortpick.config.Rules;
import org.ragwortpick.routing.RequestKind;
import org.ragwortpick.routing.Route;
import org.ragwortpick.routing.RouteStage;
import org.ragwortpick.routing.RoutingConfiguration;
import org.ragwortpick.routing.RoutingFixture;
import org.ragwortpick.routing.ServiceProfile;
import org.ragwortpick.routing.WeightedService;

/** Configuration of the {@link ForwardTestServer} with one route of each request kind. */
final class ForwardTestRoutes {

  private static final int RESUMABLE_ATTEMPTS = 2;

  private ForwardTestRoutes() {}

  static Configuration configuration() {
    RoutingConfiguration routing =
        new RoutingConfiguration(
            4,
            List.of(
                route("safe", RequestKind.IDEMPOTENT, 2),
                route("once", RequestKind.NON_IDEMPOTENT, 2),
                route("stream", RequestKind.STREAMING, 1),
                resumable("resumable"),
                resumable("resumableStaged", new RouteStage("pieces", List.of(), 10)),
                route(
                    "staged", RequestKind.IDEMPOTENT, 1, new RouteStage("pieces", List.of(), 10))),
            List.of(
                RoutingFixture.service("s1"),
                new ServiceProfile(
                    "pieces", 0, RoutingFixture.batch(4, ForwardTestServer.STAGE_MS, 0, 1_000))),
            List.of(RoutingFixture.workspace("w1", "k1")),
            null,
            "");
    return new Configuration(1, Inventory.EMPTY, Rules.EMPTY, Map.of(), Optional.of(routing));
  }

  private static Route route(String name, RequestKind kind, int attempts, RouteStage... stages) {
    return route(name, kind, attempts, false, stages);
  }

  private static Route resumable(String name, RouteStage... stages) {
    return route(name, RequestKind.STREAMING, RESUMABLE_ATTEMPTS, true, stages);
  }

  private static Route route(
      String name, RequestKind kind, int attempts, boolean resumable, RouteStage... stages) {
    return new Route(
        name,
        "127.0.0.1",
        "/" + name + "/",
        kind,
        ForwardTestServer.ROUTE_TIMEOUT_MS,
        100,
        0,
        List.of(new WeightedService("s1", 1)),
        attempts,
        List.of(stages),
        false,
        resumable);
  }
}
