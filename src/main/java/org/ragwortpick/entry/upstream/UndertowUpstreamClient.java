package org.ragwortpick.entry.upstream;

import io.undertow.connector.ByteBufferPool;
import java.time.Clock;
import org.ragwortpick.entry.EntrySettings;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** Upstream client on the client of Undertow. Each call stays on one I/O thread. */
public final class UndertowUpstreamClient implements UpstreamClient, AutoCloseable {

  private final XnioWorker worker;
  private final ByteBufferPool buffers;
  private final Clock clock;
  private final EntrySettings settings;
  private final ConnectionPool pool;

  /**
   * Creates a client.
   *
   * @param worker worker whose I/O threads run the calls
   * @param buffers buffers for reading and writing
   * @param clock monotonic clock
   * @param settings limits and timeouts
   */
  public UndertowUpstreamClient(
      XnioWorker worker, ByteBufferPool buffers, Clock clock, EntrySettings settings) {
    this.worker = worker;
    this.buffers = buffers;
    this.clock = clock;
    this.settings = settings;
    this.pool = new ConnectionPool(clock, settings.staleAfterMs());
  }

  @Override
  public UpstreamCall send(UpstreamRequest request, UpstreamListener listener) {
    UndertowCall call =
        request.freshConnection()
            ? newCall(request, listener)
            : pool.take(request.address())
                .map(
                    connection ->
                        new UndertowCall(
                                request, listener, connection.getIoThread(), dependencies())
                            .reuse(connection))
                .orElseGet(() -> newCall(request, listener));
    call.start();
    return call;
  }

  private UndertowCall newCall(UpstreamRequest request, UpstreamListener listener) {
    XnioIoThread current = XnioIoThread.currentThread();
    XnioIoThread thread =
        current != null && current.getWorker() == worker ? current : worker.getIoThread();
    return new UndertowCall(request, listener, thread, dependencies());
  }

  private UndertowCall.Dependencies dependencies() {
    return new UndertowCall.Dependencies(buffers, clock, settings, pool);
  }

  /** Closes the idle connections. Calls in flight continue and close theirs at their end. */
  @Override
  public void close() {
    pool.close();
  }
}
