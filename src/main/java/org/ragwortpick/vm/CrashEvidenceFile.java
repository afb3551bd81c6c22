package org.ragwortpick.vm;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Clock;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.ragwortpick.common.Json;
import org.ragwortpick.common.ReportingScheduler;
import org.ragwortpick.consensus.storage.Disk;
import org.ragwortpick.consensus.storage.DiskFile;
import org.ragwortpick.sync.Crash;
import org.ragwortpick.sync.CrashEvidence;
import org.ragwortpick.sync.CrashEvidenceTable;

/**
 * Keeps evidence of repeated crashes on the disk of a control VM, so that what is held back stays
 * so when all processes end at once. It is a copy of soft state: a lost or old file costs a few
 * more crashes or one early trial.
 */
final class CrashEvidenceFile implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(CrashEvidenceFile.class);

  private static final String FILE_NAME = "crash-evidence.json";
  private static final String TEMPORARY_NAME = "crash-evidence.tmp";
  private static final long SAVE_INTERVAL_MS = 200;

  /** One crash may have any cause; two under the same content are worth a write. */
  private static final int MIN_CRASHES = 2;

  /** Bounds the file to about 100 KB. */
  private static final int MAX_RECORDS = 256;

  private final Disk disk;
  private final CrashEvidenceTable table;
  private final Clock clock;
  private final Clock timeOfDay;
  private final ScheduledExecutorService thread =
      ReportingScheduler.singleDaemon("crash-evidence-file");
  private List<CrashEvidence> saved = List.of();
  private long savedVersion = -1;
  private boolean failing;

  /**
   * Creates the copy of a table.
   *
   * @param disk data folder of the VM
   * @param table the table
   * @param clock monotonic clock
   * @param timeOfDay clock that goes on while the process does not run
   */
  CrashEvidenceFile(Disk disk, CrashEvidenceTable table, Clock clock, Clock timeOfDay) {
    this.disk = disk;
    this.table = table;
    this.clock = clock;
    this.timeOfDay = timeOfDay;
  }

  /**
   * Evidence with times of day.
   *
   * @param service name of the service
   * @param content id of the content
   * @param crashes crashes that count against it
   */
  private record StoredEvidence(String service, String content, List<StoredCrash> crashes) {}

  /**
   * Crash with its time of day.
   *
   * @param upstreamId id of the upstream
   * @param incarnation incarnation that ended
   * @param atMs time of day in milliseconds
   */
  private record StoredCrash(String upstreamId, long incarnation, long atMs) {}

  /** Adds the evidence of the file to the table, and begins to save changes. */
  void start() {
    load();
    thread.scheduleWithFixedDelay(
        this::saveIfChanged, SAVE_INTERVAL_MS, SAVE_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void load() {
    try {
      if (disk.list().contains(FILE_NAME)) {
        StoredEvidence[] stored =
            Json.MESSAGES.readValue(disk.read(FILE_NAME), StoredEvidence[].class);
        List.of(stored).forEach(evidence -> table.add(restore(evidence)));
        LOG.infof("evidence of crashes under %d contents was read from the disk", stored.length);
      }
    } catch (IOException | RuntimeException e) {
      LOG.warnf(e, "evidence of crashes could not be read; what was held back is found anew");
    }
  }

  private CrashEvidence restore(StoredEvidence stored) {
    long nowMs = clock.millis();
    long nowTimeOfDayMs = timeOfDay.millis();
    List<Crash> crashes =
        stored.crashes().stream()
            .map(
                crash ->
                    new Crash(
                        crash.upstreamId(),
                        crash.incarnation(),
                        nowMs - Math.max(0, nowTimeOfDayMs - crash.atMs()),
                        false))
            .toList();
    return new CrashEvidence(stored.service(), stored.content(), crashes);
  }

  private void saveIfChanged() {
    long version = table.version();
    if (version == savedVersion) {
      return;
    }
    List<CrashEvidence> repeated =
        table.all().stream()
            .filter(evidence -> evidence.uncleared().size() >= MIN_CRASHES)
            .sorted(Comparator.comparingLong(CrashEvidence::lastCrashAtMs).reversed())
            .limit(MAX_RECORDS)
            .toList();
    if (repeated.equals(saved) || save(repeated)) {
      saved = repeated;
      savedVersion = version;
    }
  }

  private boolean save(List<CrashEvidence> repeated) {
    try (DiskFile file = disk.create(TEMPORARY_NAME)) {
      List<StoredEvidence> stored = repeated.stream().map(this::store).toList();
      file.append(ByteBuffer.wrap(Json.MESSAGES.writeValueAsBytes(stored)));
      file.sync();
      disk.rename(TEMPORARY_NAME, FILE_NAME);
      failing = false;
      return true;
    } catch (IOException e) {
      if (!failing) {
        LOG.warnf(e, "evidence of crashes could not be saved; it is tried again");
      }
      failing = true;
      return false;
    }
  }

  private StoredEvidence store(CrashEvidence evidence) {
    long offsetMs = timeOfDay.millis() - clock.millis();
    List<StoredCrash> crashes =
        evidence.uncleared().stream()
            .map(
                crash ->
                    new StoredCrash(
                        crash.upstreamId(), crash.incarnation(), crash.observedAtMs() + offsetMs))
            .toList();
    return new StoredEvidence(evidence.service(), evidence.content(), crashes);
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }
}
