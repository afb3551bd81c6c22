package org.ragwortpick.batch;

import java.util.List;
import java.util.function.Consumer;
import org.ragwortpick.sync.Upstream;

/** Calls upstreams of stage services. Callbacks run on the thread of the collector. */
public interface BatchTransport {

  /**
   * Requests a batch of pieces.
   *
   * @param upstream upstream to call
   * @param pieces the pieces
   * @param timeoutMs time in milliseconds after which the call is aborted
   * @param whenDone receives the outcome exactly once
   */
  void run(
      Upstream upstream, List<PieceCall> pieces, long timeoutMs, Consumer<BatchOutcome> whenDone);

  /**
   * Releases results that are no longer needed. If the call fails, the results expire later.
   *
   * @param upstream upstream that holds the results
   * @param handles handles of the results
   * @param whenReleased runs after the upstream has confirmed the release; not called after a
   *     failure
   */
  void release(Upstream upstream, List<String> handles, Runnable whenReleased);
}
