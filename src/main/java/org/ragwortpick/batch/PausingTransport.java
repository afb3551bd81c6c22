package org.ragwortpick.batch;

import java.util.List;
import java.util.function.Consumer;
import org.ragwortpick.entry.Timers;
import org.ragwortpick.policy.limit.NamedLimits;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.sync.Upstream;

/**
 * Delays the release of results while their upstream is paused, and leaves it out while the
 * upstream takes few requests: results expire by themselves. Batches are passed on, because the
 * collector selects upstreams that are not paused and take one.
 */
public final class PausingTransport implements BatchTransport {

  private final BatchTransport transport;
  private final RequestedPauses pauses;
  private final NamedLimits limits;
  private final Timers timers;

  /**
   * Creates a transport.
   *
   * @param transport calls the upstreams
   * @param pauses pauses that upstreams requested
   * @param limits limits that upstreams named
   * @param timers timers on the thread of the collector
   */
  public PausingTransport(
      BatchTransport transport, RequestedPauses pauses, NamedLimits limits, Timers timers) {
    this.transport = transport;
    this.pauses = pauses;
    this.limits = limits;
    this.timers = timers;
  }

  @Override
  public void run(
      Upstream upstream, List<PieceCall> pieces, long timeoutMs, Consumer<BatchOutcome> whenDone) {
    transport.run(upstream, pieces, timeoutMs, whenDone);
  }

  @Override
  public void release(Upstream upstream, List<String> handles, Runnable whenReleased) {
    if (limits.isLimited(upstream)) {
      return;
    }
    long remainingMs = pauses.remainingMs(List.of(upstream));
    if (remainingMs == 0) {
      transport.release(upstream, handles, whenReleased);
      return;
    }
    timers.schedule(remainingMs, () -> release(upstream, handles, whenReleased));
  }
}
