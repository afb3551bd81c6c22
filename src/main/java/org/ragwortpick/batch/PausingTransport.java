package org.ragwortpick.batch;

import java.util.List;
import java.util.function.Consumer;
import org.ragwortpick.entry.Timers;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.sync.Upstream;

/**
 * Delays the release of results while their upstream is paused. Batches are passed on, because the
 * collector selects upstreams that are not paused.
 */
public final class PausingTransport implements BatchTransport {

  private final BatchTransport transport;
  private final RequestedPauses pauses;
  private final Timers timers;

  /**
   * Creates a transport.
   *
   * @param transport calls the upstreams
   * @param pauses pauses that upstreams requested
   * @param timers timers on the thread of the collector
   */
  public PausingTransport(BatchTransport transport, RequestedPauses pauses, Timers timers) {
    this.transport = transport;
    this.pauses = pauses;
    this.timers = timers;
  }

  @Override
  public void run(
      Upstream upstream, List<PieceCall> pieces, long timeoutMs, Consumer<BatchOutcome> whenDone) {
    transport.run(upstream, pieces, timeoutMs, whenDone);
  }

  @Override
  public void release(Upstream upstream, List<String> handles, Runnable whenReleased) {
    long remainingMs = pauses.remainingMs(List.of(upstream));
    if (remainingMs == 0) {
      transport.release(upstream, handles, whenReleased);
      return;
    }
    timers.schedule(remainingMs, () -> release(upstream, handles, whenReleased));
  }
}
