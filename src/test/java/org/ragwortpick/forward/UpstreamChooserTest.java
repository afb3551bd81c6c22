package org.ragwortpick.forward;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.Inventory;
import org.ragwortpick.config.Rules;
import org.ragwortpick.policy.limit.LeavingUpstreams;
import org.ragwortpick.policy.limit.LimitsFixture;
import org.ragwortpick.policy.limit.RequestRateShare;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.policy.limit.TokenDemand;
import org.ragwortpick.policy.limit.UpstreamEstimates;
import org.ragwortpick.policy.select.LeastLoadedSelector;
import org.ragwortpick.rollout.TrafficFixture;
import org.ragwortpick.routing.RoutingConfiguration;
import org.ragwortpick.routing.RoutingFixture;
import org.ragwortpick.routing.ServiceProfile;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;
import org.testng.annotations.Test;

/** Guards against requests to an upstream that turned cold after it was chosen as a warm one. */
public final class UpstreamChooserTest {

  private static final long MEMORY_TOKENS = 1_000;
  private static final double COLD_REQUESTS_PER_SECOND = 5;
  private static final Upstream WARM = TestUpstreams.upstream("u1", 1, 1, UpstreamState.READY, 0);

  private static final ServiceVersion ANY_VERSION = ServiceVersion.any(WARM.service());

  private static Configuration configuration(double coldRequestsPerSecond) {
    RoutingConfiguration routing =
        new RoutingConfiguration(
            1,
            List.of(RoutingFixture.route("r", "h", "/", WARM.service())),
            List.of(new ServiceProfile(WARM.service(), coldRequestsPerSecond, null, MEMORY_TOKENS)),
            List.of(),
            null,
            "");
    return new Configuration(1, Inventory.EMPTY, Rules.EMPTY, Map.of(), Optional.of(routing));
  }

  private static UpstreamChooser chooser(double coldRequestsPerSecond, Upstream current) {
    ManualClock clock = new ManualClock();
    return chooser(coldRequestsPerSecond, current, clock, new UpstreamEstimates(clock));
  }

  private static UpstreamChooser chooser(
      double coldRequestsPerSecond,
      Upstream current,
      ManualClock clock,
      UpstreamEstimates estimates) {
    Random random = new Random(1);
    Configuration configuration = configuration(coldRequestsPerSecond);
    return new UpstreamChooser(
        () -> configuration,
        service -> List.of(current),
        new LeastLoadedSelector("dc", random),
        estimates,
        new LeavingUpstreams(clock),
        new RequestedPauses(clock, random),
        LimitsFixture.ofSingleVm(clock),
        new RequestRateShare(clock),
        "vm",
        () -> List.of("vm"),
        TrafficFixture.withoutRollouts(clock));
  }

  private static Upstream withState(UpstreamState state) {
    return TestUpstreams.upstream("u1", 1, 2, state, 0);
  }

  @Test
  public void upstreamThatTurnedColdMayTakeNoWork() {
    Upstream cold = withState(UpstreamState.COLD);
    assertFalse(chooser(COLD_REQUESTS_PER_SECOND, cold).tryPermit(WARM));
    assertTrue(chooser(0, cold).tryPermit(WARM));
  }

  @Test
  public void upstreamChosenAsColdOrStillWarmMayTakeWork() {
    Upstream cold = withState(UpstreamState.COLD);
    assertTrue(chooser(COLD_REQUESTS_PER_SECOND, cold).tryPermit(cold));
    Upstream warm = withState(UpstreamState.READY);
    assertTrue(chooser(COLD_REQUESTS_PER_SECOND, warm).tryPermit(WARM));
    assertTrue(chooser(COLD_REQUESTS_PER_SECOND, warm).tryPermit(cold));
  }

  /** Guards against requests that end an engine, and against new refusals in other deployments. */
  @Test
  public void requestBeyondMemoryIsNotSentIfWorkTimesAreReported() {
    ManualClock clock = new ManualClock();
    UpstreamEstimates estimates = new UpstreamEstimates(clock);
    UpstreamChooser chooser = chooser(0, WARM, clock, estimates);
    PromptPrefix prefix = PromptPrefix.parse(null);
    TokenDemand demand = new TokenDemand(MEMORY_TOKENS + 1, 0, 0);
    assertTrue(chooser.choose(ANY_VERSION, prefix, demand, "", Set.of()).isPresent());
    assertFalse(chooser.isBeyondMemory(ANY_VERSION, demand));
    estimates.workTimes().record(WARM.service());
    assertTrue(chooser.isBeyondMemory(ANY_VERSION, demand));
    assertFalse(chooser.choose(ANY_VERSION, prefix, demand, "", Set.of()).isPresent());
    assertTrue(chooser.choose(ANY_VERSION, prefix, TokenDemand.UNKNOWN, "", Set.of()).isPresent());
    assertTrue(chooser.freePlaces(WARM.service()) == WARM.slots());
  }
}
