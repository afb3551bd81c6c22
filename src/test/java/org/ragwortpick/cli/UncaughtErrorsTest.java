package org.ragwortpick.cli;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Guards against a process that goes on without one of its threads, or ends without need. */
public final class UncaughtErrorsTest {

  private final AtomicInteger ends = new AtomicInteger();
  private final UncaughtErrors handler = new UncaughtErrors(ends::incrementAndGet);

  @Test
  public void onlyErrorEndsTheProcess() {
    handler.uncaughtException(Thread.currentThread(), new IllegalStateException("test"));
    assertEquals(ends.get(), 0);
    handler.uncaughtException(Thread.currentThread(), new OutOfMemoryError("test"));
    assertEquals(ends.get(), 1);
  }
}
