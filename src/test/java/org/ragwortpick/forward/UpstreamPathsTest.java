package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a partition that is not noticed, and against one that is only suspected. */
public final class UpstreamPathsTest {

  private static final int UPSTREAMS = 6;
  private static final long ROUND_MS = 300;
  private static final long CONTACT_MS = 3_000;

  private final Map<String, List<Upstream>> upstreams = new HashMap<>();
  private ManualClock clock;
  private UpstreamPaths paths;

  @BeforeMethod
  public void announceServices() {
    upstreams.clear();
    for (String service : List.of("model", "booking", "encode", "retrieve", "rerank")) {
      upstreams.put(
          service,
          IntStream.range(0, UPSTREAMS)
              .mapToObj(i -> TestUpstreams.ready(service + i, service, address(service, i), "dc"))
              .toList());
    }
    clock = new ManualClock();
    paths =
        new UpstreamPaths(
            service -> upstreams.getOrDefault(service, List.of()), upstreams::keySet, clock);
  }

  private static HostPort address(String service, int number) {
    return new HostPort("10.0." + Math.floorMod(service.hashCode(), 200) + "." + number, 80);
  }

  /** Runs rounds of probes, which fail for the services named. */
  private void probeFor(long durationMs, List<String> cut) {
    for (long passedMs = 0; passedMs < durationMs; passedMs += ROUND_MS) {
      List<HostPort> probes = paths.nextProbes();
      assertTrue(probes.size() <= 9, probes.size() + " probes");
      clock.advanceMs(ROUND_MS);
      for (HostPort probe : probes) {
        boolean fails =
            cut.stream()
                .flatMap(service -> upstreams.get(service).stream())
                .anyMatch(upstream -> upstream.address().equals(probe));
        if (fails) {
          paths.onNotConnected(probe);
        } else {
          paths.onConnected(probe);
        }
      }
    }
    paths.nextProbes();
  }

  private List<String> all() {
    return List.copyOf(upstreams.keySet());
  }

  @Test
  public void refusingUpstreamDoesNotCutService() {
    paths.onNotConnected(address("model", 0));
    paths.onNotConnected(address("model", 1));
    assertTrue(paths.reaches("model"));
  }

  @Test
  public void downServiceDoesNotMeanThatVmIsPartitioned() {
    for (int i = 0; i < UPSTREAMS; i++) {
      paths.onNotConnected(address("booking", i));
    }
    assertFalse(paths.reaches("booking"));
    probeFor(CONTACT_MS, List.of("booking"));
    assertTrue(paths.reachesAny());
    assertTrue(paths.reaches("model"));
    assertFalse(paths.reaches("booking"));
  }

  @DataProvider
  public static Object[][] firstSigns() {
    return new Object[][] {{"refused"}, {"silent"}};
  }

  @Test(dataProvider = "firstSigns")
  public void partitionIsNoticedWithinContactTime(String sign) {
    paths.onBytesReceived(address("model", 0));
    if (sign.equals("refused")) {
      paths.onNotConnected(address("model", 0));
    } else {
      paths.onRequestWritten(address("model", 0));
    }
    probeFor(CONTACT_MS, all());
    assertFalse(paths.reachesAny());
    assertFalse(paths.reaches("model"));
    assertFalse(paths.reaches("booking"));
  }

  @Test
  public void quietVmDoesNotProbe() {
    clock.advanceMs(60_000);
    assertEquals(paths.nextProbes(), List.of());
    paths.onBytesReceived(address("model", 0));
    clock.advanceMs(60_000);
    assertEquals(paths.nextProbes(), List.of());
  }

  @Test
  public void connectionsThatLiveOnKeepServiceInUse() {
    for (int i = 0; i < UPSTREAMS; i++) {
      paths.onNotConnected(address("model", i));
    }
    clock.advanceMs(ROUND_MS);
    paths.onBytesReceived(address("model", 0));
    assertTrue(paths.reaches("model"));
    assertFalse(paths.connects("model"));
  }

  @Test
  public void vmIsInUseAgainOnceAnUpstreamIsReached() {
    paths.onNotConnected(address("model", 0));
    probeFor(CONTACT_MS, all());
    assertFalse(paths.reachesAny());
    probeFor(CONTACT_MS, List.of());
    assertTrue(paths.reachesAny());
    for (String service : all()) {
      assertTrue(paths.reaches(service), service);
    }
  }
}
