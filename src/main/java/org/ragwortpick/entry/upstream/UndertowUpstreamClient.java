package org.ragwortpick.entry.upstream;

import io.undertow.connector.ByteBufferPool;
import java.time.Clock;
import org.ragwortpick.entry.EntrySettings;
import org.xnio.XnioWorker;

/** Upstream client based on the Undertow client. Each call is confined to one I/O thread. */
public final class UndertowUpstreamClient implements UpstreamClient, AutoCloseable {

  private final HttpCallClient callClient;
  private final int maxResponseBytes;

  /**
   * Creates a client.
   *
   * @param worker worker whose I/O threads run the calls
   * @param buffers pool of read buffers
   * @param clock monotonic clock
   * @param settings timeouts and limits
   */
  public UndertowUpstreamClient(
      XnioWorker worker, ByteBufferPool buffers, Clock clock, EntrySettings settings) {
    this.callClient =
        new HttpCallClient(
            worker,
            buffers,
            clock,
            settings.connectTimeoutMs(),
            settings.staleAfterMs(),
            Integer.MAX_VALUE);
    this.maxResponseBytes = settings.maxResponseBytes();
  }

  @Override
  public UpstreamCall send(UpstreamRequest request, UpstreamListener listener) {
    return new UpstreamApiCall(request, listener, maxResponseBytes).send(callClient);
  }

  @Override
  public void close() {
    callClient.close();
  }
}
