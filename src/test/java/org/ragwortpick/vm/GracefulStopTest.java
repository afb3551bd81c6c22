package org.ragwortpick.vm;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.entry.WorkCounter;
import org.ragwortpick.sync.ConfigurationView;
import org.ragwortpick.sync.SyncIdentity;
import org.ragwortpick.sync.VmLifeCycle;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a stop whose end moves, or is not known to those who accept requests. */
public final class GracefulStopTest {

  private ManualClock clock;
  private ScheduledExecutorService scheduler;
  private GracefulStop stop;

  @BeforeMethod
  public void createStop() {
    clock = new ManualClock();
    scheduler = Executors.newScheduledThreadPool(1);
    WorkCounter work = new WorkCounter();
    SyncIdentity identity =
        new SyncIdentity(
            "vm",
            1,
            "dc",
            HostPort.NONE,
            HostPort.NONE,
            List.of(),
            List.of(),
            SyncIdentity.UNKNOWN_PROCESSOR_PERCENT);
    stop =
        new GracefulStop(
            new VmLifeCycle(identity, clock, new EmptyView(), work::count, record -> {}),
            work,
            scheduler,
            clock);
  }

  @AfterMethod
  public void stopScheduler() {
    scheduler.shutdownNow();
  }

  /** A second signal must not move the end that requests were accepted for. */
  @Test
  public void secondRequestDoesNotMoveTheEnd() throws Exception {
    assertEquals(stop.remainingMs(), Long.MAX_VALUE);
    stop.request(5_000);
    clock.advanceMs(2_000);
    stop.request(100);
    assertEquals(stop.remainingMs(), 3_000);
    TimeUnit.MILLISECONDS.sleep(300);
    assertFalse(stop.stopped().isDone(), "the second request ended the process");
    clock.advanceMs(4_000);
    assertEquals(stop.remainingMs(), 0);
  }

  @Test
  public void requestWithoutTimeEndsAtOnce() {
    stop.request(0);
    assertTrue(stop.stopped().isDone());
  }

  private static final class EmptyView implements ConfigurationView {
    @Override
    public Configuration current() {
      return Configuration.EMPTY;
    }

    @Override
    public boolean isInForce() {
      return true;
    }

    @Override
    public long confirmedAtMs() {
      return 1;
    }
  }
}
