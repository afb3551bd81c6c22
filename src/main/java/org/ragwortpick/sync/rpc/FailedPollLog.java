package org.ragwortpick.sync.rpc;

import java.time.Clock;
import org.jboss.logging.Logger;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.logging.DecisionLine;

/**
 * Logs polls that fail while the local VM lacks a configuration, records or a confirmation, at most
 * one line per interval.
 */
final class FailedPollLog {

  private static final Logger LOG = Logger.getLogger(FailedPollLog.class);
  private static final long INTERVAL_MS = 1_000;

  private final Clock clock;
  private int failedPolls;
  private long loggedAtMs;

  /**
   * Creates a log.
   *
   * @param clock monotonic clock
   */
  FailedPollLog(Clock clock) {
    this.clock = clock;
  }

  /**
   * Records a poll that succeeded.
   *
   * @param progress what the local VM has fetched
   */
  synchronized void succeeded(FetchProgress progress) {
    if (!progress.isIncomplete()) {
      failedPolls = 0;
    }
  }

  /**
   * Records a poll that failed.
   *
   * @param source polled source
   * @param reason reason of the failure
   * @param progress what the local VM has fetched
   */
  synchronized void failed(HostPort source, String reason, FetchProgress progress) {
    if (!progress.isIncomplete()) {
      return;
    }
    failedPolls++;
    long nowMs = clock.millis();
    if (failedPolls > 1 && nowMs - loggedAtMs < INTERVAL_MS) {
      return;
    }
    loggedAtMs = nowMs;
    DecisionLine.of("poll failed while configuration or records are missing")
        .with("source", source)
        .with("reason", reason)
        .with("revision", progress.revision())
        .with("inForce", progress.inForce())
        .with("offeredRevision", progress.offeredRevision())
        .with("receivedBytes", progress.receivedBytes())
        .with("totalBytes", progress.totalBytes())
        .with("recordsMissing", progress.recordsMissing())
        .with("failedPolls", failedPolls)
        .info(LOG);
  }
}
