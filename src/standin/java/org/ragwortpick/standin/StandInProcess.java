package org.ragwortpick.standin;

import io.undertow.Undertow;
import java.net.http.HttpClient;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.ragwortpick.common.HostPort;

/** Process that simulates several upstreams, each with its own address. */
public final class StandInProcess implements AutoCloseable {

  private static final int TIMER_THREADS = 4;
  private static final int IO_THREADS = 2;

  private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(TIMER_THREADS);
  private final Undertow server;

  /**
   * Starts the HTTP servers and the announcements of the upstreams.
   *
   * @param file entry VMs and upstreams
   * @param clock monotonic clock
   * @param incarnation incarnation of the upstreams, higher after each start of the process
   */
  public StandInProcess(StandInFile file, Clock clock, long incarnation) {
    Undertow.Builder builder = Undertow.builder().setIoThreads(IO_THREADS);
    HttpClient client =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).executor(executor).build();
    List<UpstreamStandIn> upstreams =
        file.upstreams().stream()
            .map(spec -> new UpstreamStandIn(spec, clock, executor, incarnation))
            .toList();
    for (UpstreamStandIn upstream : upstreams) {
      HostPort address = upstream.spec().address();
      builder.addListener(
          new Undertow.ListenerBuilder()
              .setType(Undertow.ListenerType.HTTP)
              .setHost(address.host())
              .setPort(address.port())
              .setRootHandler(new UpstreamHandler(upstream, executor)));
    }
    this.server = builder.build();
    server.start();
    for (int i = 0; i < upstreams.size(); i++) {
      new Announcer(client, file.entryVms(), upstreams.get(i), i).start(executor);
    }
  }

  @Override
  public void close() {
    server.stop();
    executor.shutdownNow();
  }
}
