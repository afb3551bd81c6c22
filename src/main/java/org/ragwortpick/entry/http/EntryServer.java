package org.ragwortpick.entry.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletionStage;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.WorkCounter;
import org.xnio.XnioWorker;

/**
 * HTTP server for the requests of callers and the announcements of upstreams.
 *
 * <p>A graceful stop has three steps: the work gate closes, {@link #whenIdle} completes, and {@link
 * #stop} closes the listener. The server does not own its worker, which must be shut down last.
 */
public final class EntryServer {

  /** Bounds the memory that the request headers of one connection can occupy. */
  private static final int MAX_HEADER_BYTES = 16 * 1024;

  /** As many as fit into the limit of bytes, which alone bounds them. */
  private static final int MAX_HEADERS = MAX_HEADER_BYTES / 4;

  /** A parameter takes a byte at least, so the limit of bytes alone bounds them. */
  private static final int MAX_PARAMETERS = MAX_HEADER_BYTES;

  /** The limit of bodies is part of the configuration, so the handlers apply it. */
  private static final long LIMITED_BY_HANDLER = -1;

  private final Undertow undertow;
  private final WorkCounter work;

  /**
   * Creates a server.
   *
   * @param host IP address to listen on
   * @param port TCP port; 0 for a free port
   * @param worker worker whose I/O threads serve the connections
   * @param buffers buffers for reading and writing
   * @param handler handler of all requests
   * @param work counter of the work in flight
   */
  public EntryServer(
      String host,
      int port,
      XnioWorker worker,
      ByteBufferPool buffers,
      HttpHandler handler,
      WorkCounter work) {
    this.work = work;
    this.undertow =
        Undertow.builder()
            .setServerOption(UndertowOptions.ENABLE_CONNECTOR_STATISTICS, true)
            .addHttpListener(port, host)
            .setWorker(worker)
            .setByteBufferPool(buffers)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
            .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
            .setServerOption(UndertowOptions.MAX_PARAMETERS, MAX_PARAMETERS)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, LIMITED_BY_HANDLER)
            .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setHandler(handler)
            .build();
  }

  /** Starts to listen. */
  public void start() {
    undertow.start();
  }

  /**
   * Returns the address that the server listens on. Valid after the start.
   *
   * @return the address
   */
  public HostPort address() {
    InetSocketAddress bound = (InetSocketAddress) undertow.getListenerInfo().get(0).getAddress();
    return new HostPort(bound.getAddress().getHostAddress(), bound.getPort());
  }

  /**
   * Returns the number of requests in flight, outcomes that are still being recorded included.
   *
   * @return the number
   */
  public int inFlight() {
    return work.count();
  }

  /**
   * Waits until no request is in flight.
   *
   * @return completion stage that completes then
   */
  public CompletionStage<Void> whenIdle() {
    return work.whenIdle();
  }

  /**
   * Returns the number of open connections of callers.
   *
   * @return the number; 0 before the start
   */
  public long openConnections() {
    return undertow.getListenerInfo().stream()
        .mapToLong(listener -> listener.getConnectorStatistics().getActiveConnections())
        .sum();
  }

  /** Closes the listener. Requests in flight continue. */
  public void stop() {
    undertow.stop();
  }
}
