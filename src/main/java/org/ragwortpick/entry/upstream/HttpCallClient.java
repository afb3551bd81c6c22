package org.ragwortpick.entry.upstream;

import io.undertow.connector.ByteBufferPool;
import java.time.Clock;
import org.ragwortpick.common.HostPort;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** Starts HTTP calls to upstreams over pooled connections. */
public final class HttpCallClient implements AutoCloseable {

  private final XnioWorker worker;
  private final HttpCall.Dependencies dependencies;

  /**
   * Creates an instance with an empty connection pool, which observes no network paths.
   *
   * @param worker worker whose I/O threads run the calls
   * @param buffers pool of read buffers
   * @param clock monotonic clock
   * @param connectTimeoutMs timeout in milliseconds for opening a connection
   * @param staleAfterMs time in milliseconds since its last progress after which a pooled
   *     connection is not reused
   * @param maxIdle largest number of idle connections to all upstreams
   */
  public HttpCallClient(
      XnioWorker worker,
      ByteBufferPool buffers,
      Clock clock,
      long connectTimeoutMs,
      long staleAfterMs,
      int maxIdle) {
    this(worker, buffers, clock, connectTimeoutMs, staleAfterMs, maxIdle, PathObserver.NONE);
  }

  /**
   * Creates an instance with an empty connection pool.
   *
   * @param worker worker whose I/O threads run the calls
   * @param buffers pool of read buffers
   * @param clock monotonic clock
   * @param connectTimeoutMs timeout in milliseconds for opening a connection
   * @param staleAfterMs time in milliseconds since its last progress after which a pooled
   *     connection is not reused
   * @param maxIdle largest number of idle connections to all upstreams
   * @param observer receives what the calls show about network paths
   */
  public HttpCallClient(
      XnioWorker worker,
      ByteBufferPool buffers,
      Clock clock,
      long connectTimeoutMs,
      long staleAfterMs,
      int maxIdle,
      PathObserver observer) {
    this.worker = worker;
    this.dependencies =
        new HttpCall.Dependencies(
            buffers,
            clock,
            connectTimeoutMs,
            new UpstreamConnector(buffers),
            new ConnectionPool(clock, staleAfterMs, maxIdle),
            observer);
  }

  /**
   * Returns the number of idle connections.
   *
   * @return number of connections to all upstreams
   */
  public int idleCount() {
    return dependencies.pool().idleCount();
  }

  /**
   * Starts a call.
   *
   * @param request the request
   * @param listener receives the response
   * @return the call
   */
  public HttpCall send(HttpRequest request, HttpListener listener) {
    HttpCall call =
        request.freshConnection()
            ? newCall(request, listener)
            : dependencies
                .pool()
                .take(request.address())
                .map(connection -> pooledCall(connection, request, listener))
                .orElseGet(() -> newCall(request, listener));
    call.start();
    return call;
  }

  private HttpCall pooledCall(
      UpstreamConnection connection, HttpRequest request, HttpListener listener) {
    return new HttpCall(request, listener, connection.ioThread(), dependencies)
        .useConnection(connection);
  }

  private HttpCall newCall(HttpRequest request, HttpListener listener) {
    XnioIoThread current = XnioIoThread.currentThread();
    XnioIoThread thread =
        current != null && current.getWorker() == worker ? current : worker.getIoThread();
    return new HttpCall(request, listener, thread, dependencies);
  }

  /**
   * Opens a connection to learn whether an upstream can be reached. The observer receives the
   * result. Must be called on an I/O thread of the worker.
   *
   * @param address address of the upstream
   */
  public void probe(HostPort address) {
    new ConnectionProbe(address, XnioIoThread.currentThread(), dependencies).start();
  }

  @Override
  public void close() {
    dependencies.pool().close();
  }
}
