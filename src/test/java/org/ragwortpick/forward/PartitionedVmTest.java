package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.http.HttpResponse;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against callers that are not served because their VM is partitioned from the upstreams
 * that other VMs reach.
 */
public final class PartitionedVmTest extends ForwardServerFixture {

  private static final HostPort REFUSING = new HostPort("127.0.0.1", 1);
  private static final int UPSTREAMS = 3;
  private static final int REQUESTS = 30;

  /** A partition must be noticed within this time; until then requests may fail. */
  private static final long CONTACT_MS = 3_000;

  private final Clock monotonicClock = new MonotonicClock();
  private final List<AutoCloseable> opened = new ArrayList<>();
  private ForwardTestServer connected;
  private RawUpstream upstream;

  @BeforeMethod
  public void startConnectedVm() throws Exception {
    connected = new ForwardTestServer(ResponseMemory.ofHeap());
    opened.add(connected);
    upstream = open(new RawUpstream((c, r, headers) -> RawUpstream.response(headers, "", "done")));
    announce(connected, upstream.address());
    server().setPeers(connected.address());
  }

  @AfterMethod(alwaysRun = true)
  public void closeOpened() throws Exception {
    for (AutoCloseable resource : opened) {
      resource.close();
    }
    opened.clear();
  }

  private <T extends AutoCloseable> T open(T resource) {
    opened.add(resource);
    return resource;
  }

  private static void announce(ForwardTestServer vm, HostPort address) {
    for (int i = 1; i <= UPSTREAMS; i++) {
      vm.announce("u" + i, address);
    }
  }

  /** An address whose queue of new connections is full, so that further ones hang. */
  private HostPort hangingAddress() throws Exception {
    ServerSocket full = open(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
    for (int i = 0; i < 4; i++) {
      Socket socket = open(new Socket());
      try {
        socket.connect(full.getLocalSocketAddress(), 100);
      } catch (SocketTimeoutException e) {
        break;
      }
    }
    return new HostPort("127.0.0.1", full.getLocalPort());
  }

  @DataProvider
  public Object[][] pathsAndRoutes() {
    List<Object[]> cases = new ArrayList<>();
    for (String path : List.of("refuses", "hangs")) {
      for (String route : List.of("safe", "once", "stream", "resumable")) {
        cases.add(new Object[] {path, route});
      }
    }
    return cases.toArray(Object[][]::new);
  }

  @Test(dataProvider = "pathsAndRoutes")
  public void callersOfPartitionedVmAreServed(String path, String route) throws Exception {
    announce(server(), path.equals("refuses") ? REFUSING : hangingAddress());
    long startMs = monotonicClock.millis();
    int served = 0;
    for (int i = 0; i < REQUESTS; i++) {
      HttpResponse<String> response = server().post("/" + route + "/x", "r" + i);
      served += response.statusCode() == 200 && response.body().equals("done") ? 1 : 0;
    }
    assertEquals(served, REQUESTS);
    long tookMs = monotonicClock.millis() - startMs;
    assertTrue(tookMs < CONTACT_MS, "took " + tookMs + " ms");
    assertEquals(upstream.workRequests(), REQUESTS);
  }

  @Test
  public void requestIsNotRelayedBackAndForth() throws Exception {
    announce(server(), REFUSING);
    try (ForwardTestServer alsoPartitioned = new ForwardTestServer(ResponseMemory.ofHeap())) {
      announce(alsoPartitioned, REFUSING);
      alsoPartitioned.setPeers(server().address());
      server().setPeers(alsoPartitioned.address());
      assertEquals(server().post("/once/x", "r1").statusCode(), 503);
    }
  }

  /** Three VMs without a path to the service, of which the records of VMs say nothing. */
  @Test
  public void vmThatDoesNotReachTheServiceEitherIsPassedOver() throws Exception {
    announce(server(), REFUSING);
    try (ForwardTestServer alsoPartitioned = new ForwardTestServer(ResponseMemory.ofHeap())) {
      announce(alsoPartitioned, REFUSING);
      alsoPartitioned.post("/safe/x", "first");
      server().setPeers(alsoPartitioned.address(), connected.address());
      for (int i = 0; i < REQUESTS; i++) {
        assertEquals(server().post("/once/x", "r" + i).statusCode(), 200);
      }
    }
  }

  @Test
  public void requestLostBehindOtherVmIsNotReportedAsNotRun() throws Exception {
    announce(server(), REFUSING);
    RawUpstream breaking = open(new RawUpstream((c, r, headers) -> "no response"));
    server().setPeers(breaking.address());
    assertEquals(server().post("/once/x", "r1").statusCode(), 502);
    assertEquals(breaking.workRequests(), 1);
  }

  @Test
  public void vmThatIsGoneIsPassedOver() throws Exception {
    announce(server(), REFUSING);
    server().setPeers(REFUSING, connected.address());
    for (int i = 0; i < REQUESTS; i++) {
      assertEquals(server().post("/once/x", "r" + i).statusCode(), 200);
    }
  }

  @Test
  public void refusalOfOtherVmIsPassedOn() throws Exception {
    announce(server(), REFUSING);
    connected.stopAfter(0);
    HttpResponse<String> response = server().post("/once/x", "r1");
    assertEquals(response.statusCode(), 503);
    assertTrue(response.headers().firstValue("Retry-After").isPresent());
    assertEquals(upstream.workRequests(), 0);
  }

  @Test
  public void workEndsBehindBothVmsWhenTheCallerLeaves() throws Exception {
    announce(server(), REFUSING);
    try (AbandonedRequest abandoned = AbandonedRequest.sentTo(server().address(), "/stream/x")) {
      announce(connected, abandoned.upstream());
      abandoned.assertWorkEndsAfterCaller();
    }
  }

  @Test
  public void relayedRequestGetsTheTimeThatIsLeft() throws Exception {
    announce(server(), REFUSING);
    AtomicReference<Map<String, String>> seen = new AtomicReference<>(Map.of());
    RawUpstream recording =
        open(
            new RawUpstream(
                (c, r, headers) -> {
                  seen.set(headers);
                  return RawUpstream.response(headers, "", "done");
                }));
    announce(connected, recording.address());
    assertEquals(server().post("/safe/x", "r1").statusCode(), 200);
    assertTrue(
        Long.parseLong(seen.get().get("time-left-ms")) <= ForwardTestServer.REQUEST_TIMEOUT_MS);
    assertEquals(seen.get().get("workspace"), "w1");
    assertFalse(seen.get().containsKey("access-code"));
    assertFalse(seen.get().containsKey("relayed-by"));
  }
}
