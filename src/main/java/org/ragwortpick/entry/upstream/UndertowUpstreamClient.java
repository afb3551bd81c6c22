package org.ragwortpick.entry.upstream;

import io.undertow.connector.ByteBufferPool;
import java.time.Clock;
import org.ragwortpick.entry.EntrySettings;
import org.xnio.XnioWorker;

/** Upstream client on the client of Undertow. Each call stays on one I/O thread. */
public final class UndertowUpstreamClient implements UpstreamClient, AutoCloseable {

  private final HttpCalls calls;
  private final int maxResponseBytes;

  /**
   * Creates a client.
   *
   * @param worker I/O threads
   * @param buffers buffers
   * @param clock monotonic clock
   * @param settings timeouts and limits
   */
  public UndertowUpstreamClient(
      XnioWorker worker, ByteBufferPool buffers, Clock clock, EntrySettings settings) {
    this.calls =
        new HttpCalls(worker, buffers, clock, settings.connectTimeoutMs(), settings.staleAfterMs());
    this.maxResponseBytes = settings.maxResponseBytes();
  }

  @Override
  public UpstreamCall send(UpstreamRequest request, UpstreamListener listener) {
    return new UndertowCall(request, listener, maxResponseBytes).send(calls);
  }

  @Override
  public void close() {
    calls.close();
  }
}
