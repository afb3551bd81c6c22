package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.DataCentreState;
import org.ragwortpick.config.Inventory;
import org.ragwortpick.config.Rollout;
import org.ragwortpick.config.Rules;
import org.ragwortpick.policy.limit.LeavingUpstreams;
import org.ragwortpick.policy.limit.LimitsFixture;
import org.ragwortpick.policy.limit.NamedLimits;
import org.ragwortpick.policy.limit.RequestRateShare;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.policy.limit.TokenDemand;
import org.ragwortpick.policy.limit.UpstreamEstimates;
import org.ragwortpick.policy.select.LeastLoadedSelector;
import org.ragwortpick.rollout.TrafficFixture;
import org.ragwortpick.routing.RoutingConfiguration;
import org.ragwortpick.routing.RoutingFixture;
import org.ragwortpick.routing.ServiceProfile;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against ways to an upstream that ignore the version which may run a request. */
public final class VersionChoiceTest {

  private static final String SERVICE = "s";
  private static final PromptPrefix NO_PREFIX = PromptPrefix.parse(null);
  private static final ServiceVersion OLD = new ServiceVersion(SERVICE, Optional.of("old"));
  private static final ServiceVersion NEW = new ServiceVersion(SERVICE, Optional.of("new"));
  private static final double COLD_REQUESTS_PER_SECOND = 5;
  private static final long MAX_VIEW_AGE_MS = 2_000;
  private static final long LONG_UNUSED_MS = 10_000;
  private static final long PAUSE_MS = 5_000;

  private final List<Upstream> announced = new ArrayList<>();
  private ManualClock clock;
  private Map<String, Rollout> rollouts;
  private Map<String, DataCentreState> dataCentres;
  private RequestedPauses pauses;
  private NamedLimits limits;
  private UpstreamChooser chooser;

  @BeforeMethod
  public void createChooser() {
    clock = new ManualClock();
    rollouts = Map.of();
    dataCentres = Map.of();
    announced.clear();
    Random random = new Random(5);
    pauses = new RequestedPauses(clock, random);
    limits = LimitsFixture.ofSingleVm(clock);
    chooser =
        new UpstreamChooser(
            this::configuration,
            service -> announced,
            new LeastLoadedSelector("dc", random),
            new UpstreamEstimates(clock),
            new LeavingUpstreams(clock),
            pauses,
            limits,
            new RequestRateShare(clock),
            "vm",
            () -> List.of("vm"),
            TrafficFixture.of(this::configuration, () -> 0, announced, clock, 5));
  }

  private Configuration configuration() {
    RoutingConfiguration routing =
        new RoutingConfiguration(
            1,
            List.of(RoutingFixture.route("r", "h", "/", SERVICE)),
            List.of(new ServiceProfile(SERVICE, COLD_REQUESTS_PER_SECOND, null, 0L)),
            List.of(),
            null,
            "");
    return new Configuration(
        1,
        Inventory.EMPTY,
        new Rules(List.of(), List.of(), 0, dataCentres),
        Map.of(),
        Optional.of(routing),
        rollouts);
  }

  private static Rollout rollout(Rollout.State state) {
    return new Rollout(
            "new",
            60_000,
            Rollout.State.RUNNING,
            0,
            0.1,
            MAX_VIEW_AGE_MS,
            5,
            5,
            "",
            List.of(),
            List.of())
        .in(state, 6);
  }

  private Upstream announce(String version, UpstreamState state) {
    Upstream upstream =
        new Upstream(
            "u-" + version,
            1,
            1,
            new HostPort("10.0.0.1", 80),
            "dc-" + version,
            SERVICE,
            "",
            version,
            List.of(),
            state,
            8,
            2,
            0,
            false);
    announced.add(upstream);
    return upstream;
  }

  private Optional<String> chosen(ServiceVersion target) {
    return chooser
        .choose(target, NO_PREFIX, TokenDemand.UNKNOWN, "dc-new", Set.of())
        .map(Upstream::version);
  }

  @Test
  public void warmUpstreamOfAnotherVersionDoesNotReplaceAColdOne() {
    announce("old", UpstreamState.COLD);
    announce("new", UpstreamState.READY);
    assertEquals(chosen(OLD), Optional.of("old"));
    assertEquals(chooser.likelyDataCentre(OLD, NO_PREFIX), "");
    assertEquals(chooser.likelyDataCentre(ServiceVersion.any(SERVICE), NO_PREFIX), "dc-new");
  }

  @Test
  public void coldUpstreamOfAnotherVersionIsNotChosen() {
    announce("new", UpstreamState.COLD);
    assertEquals(chosen(OLD), Optional.empty());
    assertEquals(chosen(NEW), Optional.of("new"));
  }

  @Test
  public void overduePermitOfAnotherVersionDoesNotGoFirst() {
    announce("old", UpstreamState.READY);
    Upstream limited = announce("new", UpstreamState.READY);
    limits.record(limited, 1, clock.millis());
    // Permits are earned from the first look at them.
    limits.isAvailable(limited);
    clock.advanceMs(LONG_UNUSED_MS);
    assertTrue(limits.isOverdue(limited));
    assertEquals(chosen(OLD), Optional.of("old"));
  }

  @Test
  public void refusalBeforeStagesGoesByTheUpstreamsOfTheVersion() {
    Upstream paused = announce("old", UpstreamState.READY);
    announce("new", UpstreamState.READY);
    pauses.record(paused, PAUSE_MS);
    assertTrue(chooser.pauseRemainingMs(OLD) > 0);
    assertEquals(chooser.pauseRemainingMs(NEW), 0);
    assertEquals(chooser.pauseRemainingMs(ServiceVersion.any(SERVICE)), 0);
    limits.record(paused, 1, clock.millis());
    assertTrue(chooser.limitIntervalMs(OLD) > 0);
    assertEquals(chooser.limitIntervalMs(NEW), 0);
  }

  @Test
  public void upstreamThatAnnouncesAnotherVersionIsNotTheOneThatWasChosen() {
    Upstream chosen = announce("old", UpstreamState.READY);
    assertTrue(chooser.tryPermit(chosen));
    announced.clear();
    announced.add(
        new Upstream(
            chosen.id(),
            chosen.incarnation(),
            chosen.sequence() + 1,
            chosen.address(),
            chosen.dataCentre(),
            chosen.service(),
            chosen.model(),
            "new",
            chosen.adapters(),
            chosen.state(),
            chosen.slots(),
            chosen.coldLimit(),
            chosen.load(),
            chosen.checksFencing()));
    assertFalse(chooser.tryPermit(chosen));
  }

  @Test
  public void versionWhoseUpstreamsMayTakeNoWorkIsNotAvailable() {
    announce("old", UpstreamState.READY);
    announce("new", UpstreamState.READY);
    assertTrue(chooser.isAvailable(OLD) && chooser.isAvailable(NEW));
    dataCentres = Map.of("dc-old", DataCentreState.OUT);
    assertFalse(chooser.isAvailable(OLD));
    assertEquals(chosen(OLD), Optional.empty());
  }

  /** A version that failed must get no request, not even of a stream that it began. */
  @Test
  public void rolledBackVersionTakesNoStreamUp() {
    announce("old", UpstreamState.READY);
    announce("new", UpstreamState.READY);
    rollouts = Map.of(SERVICE, rollout(Rollout.State.ROLLED_BACK));
    assertFalse(chooser.isAvailable(NEW));
    assertEquals(chosen(NEW), Optional.empty());
    assertEquals(chosen(OLD), Optional.of("old"));
  }

  @Test
  public void replacedVersionTakesItsStreamsUpUntilTheRolloutHasCompleted() {
    Upstream old = announce("old", UpstreamState.READY);
    announce("new", UpstreamState.READY);
    rollouts = Map.of(SERVICE, rollout(Rollout.State.COMPLETING));
    assertEquals(chosen(ServiceVersion.any(SERVICE)), Optional.of("new"));
    assertEquals(chosen(OLD), Optional.of("old"));
    assertTrue(chooser.tryPermit(old));
    rollouts = Map.of(SERVICE, rollout(Rollout.State.COMPLETED));
    assertFalse(chooser.isAvailable(OLD) || chooser.tryPermit(old));
  }

  /** The share bounds how many requests a version on trial gets, whatever they are. */
  @Test
  public void versionOnTrialTakesStreamsUpWithinItsShareOnly() {
    announce("old", UpstreamState.READY);
    announce("new", UpstreamState.READY);
    rollouts = Map.of(SERVICE, rollout(Rollout.State.RUNNING));
    assertTrue(chooser.isAvailable(NEW));
    assertEquals(chosen(NEW), Optional.empty());
    assertEquals(chosen(OLD), Optional.of("old"));
  }
}
