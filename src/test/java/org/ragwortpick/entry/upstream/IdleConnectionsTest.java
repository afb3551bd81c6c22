package org.ragwortpick.entry.upstream;

import static org.testng.Assert.assertEquals;

import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Guards against idle connections that take all file descriptors, or that are reused wrongly. */
public final class IdleConnectionsTest {

  private static final int MAX_IDLE = 2;
  private static final String RESPONSE = "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno";

  private final List<RawUpstream> upstreams = new ArrayList<>();
  private final List<Integer> connections = new ArrayList<>();
  private XnioWorker worker;
  private HttpCallClient client;

  @BeforeMethod
  public void start() throws IOException {
    worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    client =
        new HttpCallClient(
            worker,
            new DefaultByteBufferPool(true, 16 * 1024),
            new MonotonicClock(),
            300,
            60_000,
            MAX_IDLE);
    connections.clear();
    for (int i = 0; i < 2 * MAX_IDLE; i++) {
      upstreams.add(
          new RawUpstream(
              (connection, request, headers) -> {
                connections.add(connection);
                return RESPONSE;
              }));
    }
  }

  @AfterMethod
  public void stop() throws IOException {
    client.close();
    worker.shutdownNow();
    for (RawUpstream upstream : upstreams) {
      upstream.close();
    }
    upstreams.clear();
  }

  @Test
  public void leastRecentlyUsedConnectionIsClosedAboveTheLimit() throws Exception {
    for (RawUpstream upstream : upstreams) {
      call(upstream, true);
    }
    assertEquals(client.idleCount(), MAX_IDLE);
    call(upstreams.get(3), true);
    call(upstreams.get(0), true);
    assertEquals(connections, List.of(1, 1, 1, 1, 1, 2));
    assertEquals(client.idleCount(), MAX_IDLE);
  }

  /** The response to the request may still follow on the connection. */
  @Test
  public void onlyIdentifiedResponsesKeepTheirConnection() throws Exception {
    RawUpstream upstream = upstreams.get(0);
    call(upstream, true);
    call(upstream, false);
    assertEquals(client.idleCount(), 0);
    call(upstream, true);
    assertEquals(connections, List.of(1, 1, 2));
  }

  private void call(RawUpstream upstream, boolean identified) throws Exception {
    HeaderMap headers = new HeaderMap();
    headers.put(Headers.HOST, upstream.address().toString());
    Listener listener = new Listener(identified);
    client.send(
        new HttpRequest(
            upstream.address(),
            Methods.GET,
            "/",
            () -> headers,
            new byte[0],
            false,
            ResponseLimits.withoutTotalTimeout(5_000, 1_000),
            () -> true),
        listener);
    listener.end.get(5, TimeUnit.SECONDS);
  }

  private static final class Listener implements HttpListener {

    private final CompletableFuture<HttpEnd> end = new CompletableFuture<>();
    private final boolean identified;

    private Listener(boolean identified) {
      this.identified = identified;
    }

    @Override
    public boolean onHead(HttpHead head) {
      return true;
    }

    @Override
    public boolean onBytes(ByteBuffer bytes) {
      return true;
    }

    @Override
    public boolean isIdentified() {
      return identified;
    }

    @Override
    public void onEnd(HttpEnd ended) {
      end.complete(ended);
    }
  }
}
