package org.ragwortpick.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Guards against an invalid configuration that is accepted and applied. */
public final class RoutingValidatorTest {

  private static void assertRejected(RoutingConfiguration configuration, Class<?> problem) {
    List<RoutingProblem> problems = RoutingValidator.validate(configuration);
    assertEquals(problems.size(), 1, problems.toString());
    assertTrue(problem.isInstance(problems.get(0)), problems.toString());
  }

  @Test
  public void acceptsValidConfiguration() {
    assertEquals(
        RoutingValidator.validate(
            RoutingFixture.configuration(1, RoutingFixture.route("r", "a.example", "/x/", "s1"))),
        List.of());
  }

  @Test
  public void rejectsUnknownService() {
    assertRejected(
        RoutingFixture.configuration(1, RoutingFixture.route("r", "a.example", "/x/", "s9")),
        RoutingProblem.UnknownService.class);
  }

  @Test
  public void rejectsRoutesWithSameHostAndPrefix() {
    assertRejected(
        RoutingFixture.configuration(
            1,
            RoutingFixture.route("r", "a.example", "/x/", "s1"),
            RoutingFixture.route("q", "a.example", "/x/", "s2")),
        RoutingProblem.DuplicateRoute.class);
  }

  @Test
  public void rejectsRoutesWhoseHostsDifferByCaseOnly() {
    assertRejected(
        RoutingFixture.configuration(
            1,
            RoutingFixture.route("r", "a.example", "/x/", "s1"),
            RoutingFixture.route("q", "A.example", "/x/", "s2")),
        RoutingProblem.DuplicateRoute.class);
  }

  @Test
  public void acceptsWeightsWhoseSumExceedsAnInteger() {
    Route valid = RoutingFixture.route("r", "a.example", "/x/", "s1");
    List<WeightedService> large =
        List.of(
            new WeightedService("s1", Integer.MAX_VALUE),
            new WeightedService("s2", Integer.MAX_VALUE));
    Route route = withServices(valid, 1_000, large);
    assertEquals(RoutingValidator.validate(RoutingFixture.configuration(1, route)), List.of());
  }

  @Test
  public void rejectsWeightsThatAddUpToZero() {
    Route valid = RoutingFixture.route("r", "a.example", "/x/", "s1");
    Route route = withServices(valid, 1_000, List.of(new WeightedService("s1", 0)));
    assertRejected(RoutingFixture.configuration(1, route), RoutingProblem.InvalidWeights.class);
  }

  @Test
  public void rejectsTimeoutOfZero() {
    Route valid = RoutingFixture.route("r", "a.example", "/x/", "s1");
    Route route = withServices(valid, 0, valid.services());
    assertRejected(RoutingFixture.configuration(1, route), RoutingProblem.OutOfRange.class);
  }

  @Test
  public void rejectsKeySharedByWorkspaces() {
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
    assertRejected(shared, RoutingProblem.SharedKey.class);
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
