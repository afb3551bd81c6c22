package org.ragwortpick.forward;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.Inventory;
import org.ragwortpick.config.Rules;
import org.ragwortpick.policy.limit.LeavingUpstreams;
import org.ragwortpick.policy.limit.NamedLimits;
import org.ragwortpick.policy.limit.RequestRateShare;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.policy.limit.SenderRank;
import org.ragwortpick.policy.limit.TokenDemand;
import org.ragwortpick.policy.limit.UpstreamEstimates;
import org.ragwortpick.policy.select.LeastLoadedSelector;
import org.ragwortpick.rollout.TrafficFixture;
import org.ragwortpick.routing.RoutingConfiguration;
import org.ragwortpick.routing.RoutingFixture;
import org.ragwortpick.routing.ServiceProfile;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamLimit;
import org.ragwortpick.sync.directory.SoftTable;
import org.ragwortpick.sync.directory.SyncedUpstreamLimits;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against an upstream that is lost to service once it has named a limit. */
public final class LimitOfOneUpstreamTest {

  private static final List<String> DATA_CENTRES = List.of("dc-a", "dc-b", "dc-c");
  private static final int VMS = 9;
  private static final int UPSTREAMS = 6;
  private static final String SERVICE = "s";
  private static final int REQUESTS_PER_SECOND = 40;
  private static final long STEP_MS = 1_000 / REQUESTS_PER_SECOND;
  private static final long LIMITED_MS = 36_000;

  /** Time after the end of a limit in which it is noticed. */
  private static final long NOTICED_WITHIN_MS = 6_000;

  /** The same for an upstream that takes nothing, which is asked more rarely. */
  private static final long NOTICED_AFTER_NOTHING_MS = 12_000;

  private static final long AFTERWARDS_MS = 6_000;

  private final ManualClock clock = new ManualClock();
  private final Random random = new Random(7);
  private final Configuration configuration = configuration();
  private List<Upstream> upstreams = List.of();
  private List<Vm> vms = List.of();

  private static Configuration configuration() {
    RoutingConfiguration routing =
        new RoutingConfiguration(
            1,
            List.of(RoutingFixture.route("r", "h", "/", SERVICE)),
            List.of(new ServiceProfile(SERVICE, 0, null)),
            List.of(),
            null,
            "");
    return new Configuration(1, Inventory.EMPTY, Rules.EMPTY, Map.of(), Optional.of(routing));
  }

  private void start(String limitedId) {
    List<Upstream> started = new ArrayList<>();
    for (int i = 0; i < UPSTREAMS; i++) {
      started.add(
          TestUpstreams.ready(
              i == 0 ? limitedId : "u-" + i,
              SERVICE,
              new HostPort("127.0.0.1", 1 + i),
              DATA_CENTRES.get(i % DATA_CENTRES.size())));
    }
    upstreams = started;
    SyncedUpstreamLimits table = new SyncedUpstreamLimits("vm", new SoftTable(), () -> {});
    vms = IntStream.range(0, VMS).mapToObj(i -> new Vm(i, table)).toList();
  }

  private String dataCentreOf(int vm) {
    return DATA_CENTRES.get(vm % DATA_CENTRES.size());
  }

  private SenderRank rankAmongSenders(int vm, Upstream upstream) {
    Map<Boolean, List<String>> names =
        IntStream.range(0, VMS)
            .boxed()
            .collect(
                Collectors.partitioningBy(
                    i -> dataCentreOf(i).equals(upstream.dataCentre()),
                    Collectors.mapping(i -> "vm-" + i, Collectors.toList())));
    return SenderRank.nearFirst(upstream.id(), "vm-" + vm, names.get(true), names.get(false));
  }

  /** Sends work to random VMs for a while, and counts the requests at each upstream. */
  private Map<String, Integer> play(long durationMs, double limitPerSecond) {
    Map<String, Integer> arrivals = new HashMap<>();
    for (long endMs = clock.millis() + durationMs; clock.millis() < endMs; ) {
      clock.advanceMs(STEP_MS);
      vms.get(random.nextInt(VMS))
          .send(limitPerSecond)
          .ifPresent(upstream -> arrivals.merge(upstream.id(), 1, Integer::sum));
    }
    return arrivals;
  }

  @DataProvider
  public static Object[][] limits() {
    List<Object[]> cases = new ArrayList<>();
    for (int i = 0; i < 7; i++) {
      for (double limit : new double[] {0, 0.5, 1, 4}) {
        cases.add(new Object[] {"limited-" + i, limit});
      }
    }
    return cases.toArray(Object[][]::new);
  }

  @Test(dataProvider = "limits")
  public void limitedUpstreamIsUsedWithinItsLimitAndFullyAfterItsEnd(String id, double limit) {
    start(id);
    play(2_000, UpstreamLimit.NONE);
    int limited = play(LIMITED_MS, limit).getOrDefault(id, 0);
    double allowed = limit * LIMITED_MS / 1_000;
    assertTrue(limited >= 0.3 * allowed, limited + " of " + allowed + " requests");
    play(limit == 0 ? NOTICED_AFTER_NOTHING_MS : NOTICED_WITHIN_MS, UpstreamLimit.NONE);
    int after = play(AFTERWARDS_MS, UpstreamLimit.NONE).getOrDefault(id, 0);
    int fairPart = (int) (REQUESTS_PER_SECOND * AFTERWARDS_MS / 1_000 / UPSTREAMS);
    assertTrue(after >= fairPart / 2, after + " requests after the limit, fair are " + fairPart);
  }

  /** One VM, which sends by the choice of its own data centre. */
  private final class Vm {

    private final NamedLimits limits;
    private final UpstreamChooser chooser;

    Vm(int index, SyncedUpstreamLimits table) {
      String name = "vm-" + index;
      List<String> names = IntStream.range(0, VMS).mapToObj(i -> "vm-" + i).toList();
      this.limits =
          new NamedLimits(
              table,
              new RequestRateShare(clock),
              upstream -> rankAmongSenders(index, upstream),
              clock);
      this.chooser =
          new UpstreamChooser(
              () -> configuration,
              service -> upstreams,
              new LeastLoadedSelector(dataCentreOf(index), random),
              new UpstreamEstimates(clock),
              new LeavingUpstreams(clock),
              new RequestedPauses(clock, random),
              limits,
              new RequestRateShare(clock),
              name,
              () -> names,
              TrafficFixture.withoutRollouts(clock));
    }

    /** Sends a request, whose response names the limit of one upstream. */
    Optional<Upstream> send(double limitPerSecond) {
      Optional<Upstream> chosen =
          chooser
              .choose(
                  ServiceVersion.any(SERVICE),
                  PromptPrefix.parse(null),
                  TokenDemand.UNKNOWN,
                  "",
                  Set.of())
              .filter(chooser::tryPermit);
      chosen
          .filter(upstream -> upstream.equals(upstreams.get(0)))
          .ifPresent(upstream -> limits.record(upstream, limitPerSecond, clock.millis()));
      return chosen;
    }
  }
}
