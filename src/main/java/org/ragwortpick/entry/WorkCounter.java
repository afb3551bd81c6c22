package org.ragwortpick.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Number of pieces of work that a graceful stop has to wait for. */
public final class WorkCounter {

  private final List<CompletableFuture<Void>> waiting = new ArrayList<>();
  private int count;

  /** Counts a piece of work that starts. */
  public synchronized void enter() {
    count++;
  }

  /** Counts a piece of work that ended. */
  public void exit() {
    List<CompletableFuture<Void>> drained = List.of();
    synchronized (this) {
      count--;
      Invariants.check(count >= 0, "work ended more often than it started");
      if (count == 0) {
        drained = List.copyOf(waiting);
        waiting.clear();
      }
    }
    drained.forEach(future -> future.complete(null));
  }

  /**
   * Returns the number of pieces of work in flight.
   *
   * @return the number
   */
  public synchronized int count() {
    return count;
  }

  /**
   * Waits until no work is in flight. New work that starts meanwhile is waited for as well.
   *
   * @return stage that completes when the count reaches 0
   */
  public synchronized CompletionStage<Void> whenIdle() {
    if (count == 0) {
      return CompletableFuture.completedFuture(null);
    }
    CompletableFuture<Void> future = new CompletableFuture<>();
    waiting.add(future);
    return future;
  }
}
