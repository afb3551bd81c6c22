package org.ragwortpick.origin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.common.ReportingScheduler;
import org.ragwortpick.consensus.FakeDisk;
import org.ragwortpick.entry.Timers;
import org.ragwortpick.peer.PeerChannels;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against records and answers that change on their way over the network. */
public final class OriginStoreServerTest {

  private static final long LIFETIME_MS = 60_000;
  private static final long WITHIN_MS = 10_000;

  private final ScheduledExecutorService loop = ReportingScheduler.singleDaemon("loop");
  private final Timers timers =
      (delayMs, task) -> {
        var timer = loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
        return () -> timer.cancel(false);
      };
  private final Clock clock = new MonotonicClock();
  private PeerChannels channels;
  private Server first;
  private Server second;

  @BeforeMethod
  public void startServers() throws Exception {
    channels = new PeerChannels();
    first = server();
    second = server();
  }

  @AfterMethod
  public void stopServers() {
    channels.close();
    first.shutdownNow();
    second.shutdownNow();
  }

  private Server server() throws Exception {
    OriginStore store = new OriginStore(new FakeDisk(), clock, Clock.systemUTC());
    return NettyServerBuilder.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .directExecutor()
        .addService(new OriginStoreServer(store))
        .build()
        .start();
  }

  private RemoteStreamOrigins vm(String name) {
    List<HostPort> stores =
        List.of(
            new HostPort("127.0.0.1", first.getPort()),
            new HostPort("127.0.0.1", second.getPort()));
    return new RemoteStreamOrigins(name, () -> stores, channels, loop, timers, clock);
  }

  private Optional<String> find(RemoteStreamOrigins vm, String id) throws Exception {
    CompletableFuture<Optional<String>> found = new CompletableFuture<>();
    loop.execute(() -> vm.find(id, found::complete));
    return found.get(WITHIN_MS, TimeUnit.MILLISECONDS);
  }

  private void awaitFound(RemoteStreamOrigins vm, String id, String version) throws Exception {
    long startedAtMs = clock.millis();
    while (!find(vm, id).equals(Optional.of(version))) {
      assertTrue(clock.millis() - startedAtMs < WITHIN_MS, id + " was not found");
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  @Test
  public void otherVmFindsTheRecordAtBothStoresAndAtOneAlone() throws Exception {
    RemoteStreamOrigins writer = vm("10.0.1.1:1");
    RemoteStreamOrigins reader = vm("10.0.1.2:1");
    loop.execute(() -> writer.record("r1", "4 \u00e9", LIFETIME_MS));
    loop.execute(() -> writer.record("r2", "", LIFETIME_MS));
    awaitFound(reader, "r1", "4 \u00e9");
    awaitFound(reader, "r2", "");
    assertEquals(find(reader, "invented"), Optional.empty());
    TimeUnit.MILLISECONDS.sleep(200);
    first.shutdownNow();
    awaitFound(reader, "r1", "4 \u00e9");
    second.shutdownNow();
    first.awaitTermination();
    second.awaitTermination();
    assertEquals(find(reader, "r1"), Optional.empty());
  }
}
