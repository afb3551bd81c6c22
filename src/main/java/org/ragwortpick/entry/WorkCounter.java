package org.ragwortpick.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Counts the work in flight that a graceful stop waits for. */
public final class WorkCounter {

  private final List<CompletableFuture<Void>> idleFutures = new ArrayList<>();
  private int count;

  /** Counts a piece of work that starts. */
  public synchronized void enter() {
    count++;
  }

  /** Counts a piece of work that ended. */
  public void exit() {
    List<CompletableFuture<Void>> completed = List.of();
    synchronized (this) {
      count--;
      Invariants.check(
          count >= 0, "work in flight is negative: exit was called more often than enter");
      if (count == 0) {
        completed = List.copyOf(idleFutures);
        idleFutures.clear();
      }
    }
    completed.forEach(future -> future.complete(null));
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
   * Waits until no work is in flight, work that starts during the wait included.
   *
   * @return completion stage that completes when the count reaches 0
   */
  public synchronized CompletionStage<Void> whenIdle() {
    if (count == 0) {
      return CompletableFuture.completedFuture(null);
    }
    CompletableFuture<Void> future = new CompletableFuture<>();
    idleFutures.add(future);
    return future;
  }
}
