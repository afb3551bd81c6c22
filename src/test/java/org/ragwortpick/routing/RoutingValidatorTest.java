package org.ragwortpick.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Guards against an invalid configuration that is accepted and then obeyed. */
public final class RoutingValidatorTest {

  private static void assertRefused(RoutingConfiguration configuration, Class<?> problem) {
    List<RoutingProblem> problems = RoutingValidator.validate(configuration);
    assertEquals(problems.size(), 1, problems.toString());
    assertTrue(problem.isInstance(problems.get(0)), problems.toString());
  }

  @Test
  public void acceptsAValidConfiguration() {
    assertEquals(
        RoutingValidator.validate(
            RoutingFixture.configuration(1, RoutingFixture.route("r", "a.example", "/x/", "s1"))),
        List.of());
  }

  @Test
  public void refusesAnUnknownService() {
    assertRefused(
        RoutingFixture.configuration(1, RoutingFixture.route("r", "a.example", "/x/", "s9")),
        RoutingProblem.UnknownService.class);
  }

  @Test
  public void refusesTwoRoutesAtOnePlace() {
    assertRefused(
        RoutingFixture.configuration(
            1,
            RoutingFixture.route("r", "a.example", "/x/", "s1"),
            RoutingFixture.route("q", "a.example", "/x/", "s2")),
        RoutingProblem.SamePlace.class);
  }

  @Test
  public void refusesWeightsThatAddUpToNothing() {
    Route valid = RoutingFixture.route("r", "a.example", "/x/", "s1");
    Route route = withServices(valid, 1_000, List.of(new WeightedService("s1", 0)));
    assertRefused(RoutingFixture.configuration(1, route), RoutingProblem.NoWeight.class);
  }

  @Test
  public void refusesATimeoutOfNothing() {
    Route valid = RoutingFixture.route("r", "a.example", "/x/", "s1");
    Route route = withServices(valid, 0, valid.services());
    assertRefused(RoutingFixture.configuration(1, route), RoutingProblem.OutOfRange.class);
  }

  @Test
  public void refusesAKeyOfTwoWorkspaces() {
    RoutingConfiguration valid = RoutingFixture.configuration(1);
    RoutingConfiguration shared =
        new RoutingConfiguration(
            1,
            List.of(),
            valid.services(),
            List.of(
                RoutingFixture.workspace("w1", "k1", "k2"),
                RoutingFixture.workspace("w2", "k3", "k2")),
            null,
            "");
    assertRefused(shared, RoutingProblem.SharedKey.class);
  }

  private static Route withServices(Route route, long timeoutMs, List<WeightedService> services) {
    return new Route(
        route.name(),
        route.host(),
        route.pathPrefix(),
        route.kind(),
        timeoutMs,
        route.targetLatencyMs(),
        route.priority(),
        services,
        route.maxAttempts(),
        route.stages(),
        route.open(),
        route.resumable());
  }
}
