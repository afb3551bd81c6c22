package org.ragwortpick.origin;

import java.time.Clock;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.common.ReportingScheduler;
import org.ragwortpick.consensus.storage.Disk;

/**
 * Records of a control VM, in memory and on its disk. Only a thread of its own waits for the disk.
 */
public final class OriginStore implements AutoCloseable {

  /** Bounds the memory to about 11 MB. */
  static final int MAX_RECORDS = 100_000;

  private static final long SYNC_INTERVAL_MS = 100;

  /** A disk that does not respond must not delay the stop of the process for longer. */
  private static final long CLOSE_TIMEOUT_MS = 300;

  private final OriginTable table;
  private final OriginFile file;
  private final ScheduledExecutorService thread = ReportingScheduler.singleDaemon("stream-origins");

  /**
   * Creates a store that does not use the disk yet.
   *
   * @param disk data folder of the VM
   * @param clock monotonic clock
   * @param timeOfDay clock that goes on while the process does not run
   */
  public OriginStore(Disk disk, Clock clock, Clock timeOfDay) {
    this.table = new OriginTable(MAX_RECORDS, clock);
    this.file = new OriginFile(disk, table::all, clock, timeOfDay);
  }

  /** Begins to read what the disk holds, and to save records. */
  public void start() {
    thread.execute(() -> file.load(table::add));
    thread.scheduleWithFixedDelay(
        file::writeQueued, SYNC_INTERVAL_MS, SYNC_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Adds records. Does not wait for the disk.
   *
   * @param records the records
   */
  void add(List<OriginRecord> records) {
    List<OriginRecord> valid = records.stream().filter(OriginRecord::isValid).toList();
    valid.forEach(table::add);
    file.queue(valid);
  }

  /**
   * Looks up a request.
   *
   * @param key key of the request
   * @return what is known
   */
  OriginAnswer find(OriginKey key) {
    return table.find(key);
  }

  @Override
  public void close() {
    thread.execute(file::writeQueued);
    thread.execute(file::close);
    thread.shutdown();
    try {
      if (!thread.awaitTermination(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
        thread.shutdownNow();
      }
    } catch (InterruptedException e) {
      thread.shutdownNow();
      Thread.currentThread().interrupt();
    }
  }
}
