package org.ragwortpick.entry.http;

import java.time.Clock;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;

/**
 * Bounds the time for which a request may have waited in its socket until it was read. In each of
 * its rounds the I/O thread reads all that has arrived, so a request that it reads now arrived
 * after the round before. Rounds are far apart if the process was suspended or got no processor
 * time. Confined to the I/O thread.
 */
public final class ReadDelay {

  private static final long ROUND_INTERVAL_MS = 100;

  /** Delay below which the process counts as running. */
  private static final long MIN_DELAY_MS = 300;

  private final XnioIoThread ioThread;
  private final Clock clock;
  private long roundAtMs;
  private long previousRoundAtMs;

  /**
   * Creates an instance that does not observe its thread yet.
   *
   * @param ioThread thread that reads the requests
   * @param clock monotonic clock that advances while the process is stopped by a signal
   */
  public ReadDelay(XnioIoThread ioThread, Clock clock) {
    this.ioThread = ioThread;
    this.clock = clock;
  }

  /** Starts to observe the rounds of the thread. Must be called before requests are accepted. */
  public void start() {
    roundAtMs = clock.millis();
    previousRoundAtMs = roundAtMs;
    ioThread.executeAtInterval(this::startRound, ROUND_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void startRound() {
    long nowMs = clock.millis();
    // Two calls within one round are no two rounds.
    if (nowMs - roundAtMs >= ROUND_INTERVAL_MS / 2) {
      previousRoundAtMs = roundAtMs;
      roundAtMs = nowMs;
    }
  }

  /**
   * Returns the longest time for which a request that is read now may have waited.
   *
   * @return time in milliseconds; 0 if the process has been running
   */
  public long maxMs() {
    long delayMs = clock.millis() - previousRoundAtMs;
    return delayMs >= MIN_DELAY_MS ? delayMs : 0;
  }
}
