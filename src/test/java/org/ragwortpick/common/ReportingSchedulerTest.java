package org.ragwortpick.common;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a task that ends by an error which nobody learns of. */
public final class ReportingSchedulerTest {

  private static final long REPORT_MS = 5_000;
  private static final long NO_REPORT_MS = 200;

  private BlockingQueue<Throwable> reported;
  private ReportingScheduler scheduler;

  @BeforeMethod
  public void createScheduler() {
    reported = new LinkedBlockingQueue<>();
    scheduler =
        new ReportingScheduler(
            1,
            task -> {
              Thread thread = new Thread(task, "scheduler");
              thread.setUncaughtExceptionHandler((in, thrown) -> reported.add(thrown));
              return thread;
            });
  }

  @AfterMethod
  public void stopScheduler() {
    scheduler.shutdownNow();
  }

  private static void fail() {
    throw new StackOverflowError("test");
  }

  private void assertReportedOnce() throws InterruptedException {
    assertNotNull(reported.poll(REPORT_MS, TimeUnit.MILLISECONDS));
    assertNull(reported.poll(NO_REPORT_MS, TimeUnit.MILLISECONDS));
  }

  @Test
  public void errorOfEachKindOfTaskIsReported() throws Exception {
    scheduler.execute(ReportingSchedulerTest::fail);
    assertReportedOnce();
    scheduler.schedule(ReportingSchedulerTest::fail, 1, TimeUnit.MILLISECONDS);
    assertReportedOnce();
    scheduler.scheduleWithFixedDelay(ReportingSchedulerTest::fail, 1, 1, TimeUnit.MILLISECONDS);
    assertReportedOnce();
  }

  @Test
  public void endedAndCancelledTasksReportNothing() throws Exception {
    scheduler.submit(() -> "done").get();
    ScheduledFuture<?> periodic =
        scheduler.scheduleWithFixedDelay(() -> {}, 1, 1, TimeUnit.MILLISECONDS);
    TimeUnit.MILLISECONDS.sleep(NO_REPORT_MS);
    periodic.cancel(true);
    TimeUnit.MILLISECONDS.sleep(NO_REPORT_MS);
    assertEquals(reported.size(), 0);
  }
}
