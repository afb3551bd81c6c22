package org.ragwortpick.vm;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Waits for a stage, but not for ever. */
final class BoundedWait {

  private BoundedWait() {}

  /**
   * Waits until a stage completes.
   *
   * @param stage the stage
   * @param timeoutMs longest wait in milliseconds
   * @return false if it did not complete in time, or the thread was interrupted
   * @throws IllegalStateException if the stage failed
   */
  static boolean completes(CompletionStage<?> stage, long timeoutMs) {
    try {
      stage.toCompletableFuture().get(timeoutMs, TimeUnit.MILLISECONDS);
      return true;
    } catch (TimeoutException e) {
      return false;
    } catch (ExecutionException e) {
      throw new IllegalStateException("the awaited work failed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
