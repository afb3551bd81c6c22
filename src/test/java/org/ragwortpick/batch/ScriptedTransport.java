package org.ragwortpick.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.ragwortpick.sync.Upstream;

/** Transport that records calls and leaves their outcomes to the test. */
final class ScriptedTransport implements BatchTransport {

  private final List<Call> calls = new ArrayList<>();
  private final List<String> released = new ArrayList<>();
  private final List<Runnable> releases = new ArrayList<>();
  private int nextHandle;

  @Override
  public void run(
      Upstream upstream, List<PieceCall> pieces, long timeoutMs, Consumer<BatchOutcome> whenDone) {
    calls.add(new Call(upstream, pieces, timeoutMs, whenDone));
  }

  @Override
  public void release(Upstream upstream, List<String> handles, Runnable whenReleased) {
    released.addAll(handles);
    releases.add(whenReleased);
  }

  /** Confirms all releases so far. */
  void confirmReleases() {
    List<Runnable> confirmed = List.copyOf(releases);
    releases.clear();
    confirmed.forEach(Runnable::run);
  }

  List<Call> calls() {
    return calls;
  }

  List<String> released() {
    return released;
  }

  /** Removes the oldest call that has not ended. */
  Call take() {
    return calls.remove(0);
  }

  /** Completes a call with a result for each piece. */
  void produce(Call call) {
    List<PieceResult> results =
        IntStream.range(0, call.pieces().size())
            .<PieceResult>mapToObj(i -> new PieceResult.Produced("h" + nextHandle++))
            .toList();
    call.whenDone().accept(new BatchOutcome.Answered(results));
  }

  record Call(
      Upstream upstream, List<PieceCall> pieces, long timeoutMs, Consumer<BatchOutcome> whenDone) {}
}
