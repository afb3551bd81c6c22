package org.ragwortpick.origin;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.ragwortpick.consensus.storage.Disk;
import org.ragwortpick.consensus.storage.DiskFile;
import org.ragwortpick.consensus.storage.RecordFrames;
import org.ragwortpick.proto.StoredOrigins;

/**
 * Copy of the records on a disk. Records are appended to the file of the current generation. When
 * it is full, the next generation begins and the one before the current is deleted, so that the
 * disk holds two.
 *
 * <p>After a start, a failure of the disk or an overflow of the queue, the next generation begins
 * with all records of the table, and replaces all others.
 *
 * <p>Records may be queued by any thread. The other methods are called by one thread, which may be
 * blocked by the disk.
 */
final class OriginFile {

  /** Part of the names of the files, followed by the number of the generation. */
  static final String PREFIX = "stream-origins-";

  /** Holds more records than the table, so that two generations hold the newest of them. */
  static final int MAX_GENERATION_BYTES = 8 * 1024 * 1024;

  /** Bounds the memory for records that wait for a slow disk. */
  static final int MAX_QUEUED = 20_000;

  /** Steps of the time of day while the process is down must not make records expire early. */
  static final long EXPIRY_MARGIN_MS = 60_000;

  /** Time after a failure in which the disk is left alone. */
  static final long RETRY_DELAY_MS = 5_000;

  private static final Logger LOG = Logger.getLogger(OriginFile.class);
  private static final String TEMPORARY_NAME = "stream-origins.tmp";
  private static final int MAX_FRAME_RECORDS = 2_000;

  private final Disk disk;
  private final Supplier<List<OriginRecord>> table;
  private final Clock clock;
  private final Clock timeOfDay;

  /** Records to be appended; guarded by this object. */
  private List<OriginRecord> queue = new ArrayList<>();

  /** Whether records are in the table only; guarded by this object. */
  private boolean overflowed;

  private Optional<DiskFile> file = Optional.empty();
  private long generation;
  private long writtenBytes;
  private long retryAtMs;
  private boolean failing;

  /**
   * Creates the copy.
   *
   * @param disk data folder of the VM
   * @param table lists all records that the copy should hold
   * @param clock monotonic clock
   * @param timeOfDay clock that goes on while the process does not run
   */
  OriginFile(Disk disk, Supplier<List<OriginRecord>> table, Clock clock, Clock timeOfDay) {
    this.disk = disk;
    this.table = table;
    this.clock = clock;
    this.timeOfDay = timeOfDay;
  }

  /**
   * Queues records to be written. Never blocks on the disk.
   *
   * @param records records that the table has
   */
  synchronized void queue(List<OriginRecord> records) {
    if (overflowed || queue.size() + records.size() > MAX_QUEUED) {
      overflowed = true;
      queue = new ArrayList<>();
    } else {
      queue.addAll(records);
    }
  }

  /**
   * Reads the records that earlier processes wrote. What cannot be read is left out.
   *
   * @param found receives each record
   */
  void load(Consumer<OriginRecord> found) {
    try {
      for (String name : disk.list()) {
        OptionalLong number = generationOf(name);
        if (number.isPresent()) {
          generation = Math.max(generation, number.getAsLong());
          load(name, found);
        }
      }
    } catch (IOException e) {
      LOG.warnf("versions of streams could not be read; some streams cannot be taken up: %s", e);
    }
  }

  private void load(String name, Consumer<OriginRecord> found) {
    try {
      read(disk.read(name), found);
    } catch (IOException e) {
      LOG.warnf("file %s could not be read; some streams cannot be taken up: %s", name, e);
    }
  }

  private static OptionalLong generationOf(String name) {
    if (!name.startsWith(PREFIX)) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(Long.parseLong(name.substring(PREFIX.length())));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  private void read(byte[] content, Consumer<OriginRecord> found)
      throws InvalidProtocolBufferException {
    Optional<RecordFrames.Frame> frame = RecordFrames.read(content, 0);
    while (frame.isPresent()) {
      ByteBuffer payload =
          ByteBuffer.wrap(content, frame.get().payloadOffset(), frame.get().payloadLength());
      StoredOrigins stored = StoredOrigins.parseFrom(payload);
      // After a backward step of the time of day a record must not outlive its lifetime by it.
      long ageMs = Math.max(0, timeOfDay.millis() - stored.getWrittenAtMs());
      for (OriginRecord next : OriginCodec.decode(stored.getVersionsList())) {
        long remainingMs = next.lifetimeMs() + EXPIRY_MARGIN_MS - ageMs;
        if (remainingMs > 0) {
          found.accept(new OriginRecord(next.key(), next.version(), remainingMs));
        }
      }
      frame = RecordFrames.read(content, frame.get().endOffset());
    }
  }

  /** Writes and syncs what is queued. A failure is logged once and tried again later. */
  void writeQueued() {
    if (clock.millis() < retryAtMs) {
      return;
    }
    Queued taken = takeQueued();
    if (taken.isEmpty()) {
      return;
    }
    try {
      write(taken);
      if (failing) {
        LOG.info("versions of streams are saved again");
      }
      failing = false;
    } catch (IOException | RuntimeException e) {
      onFailure(e);
    }
  }

  private synchronized Queued takeQueued() {
    Queued taken = new Queued(queue, overflowed);
    queue = new ArrayList<>();
    overflowed = false;
    return taken;
  }

  private void write(Queued taken) throws IOException {
    if (file.isEmpty() || taken.overflowed()) {
      // The table has all records that were queued.
      beginGeneration(table.get());
      deleteOthers(List.of(nameOf(generation)));
      return;
    }
    append(file.get(), taken.records());
    file.get().sync();
    if (writtenBytes >= MAX_GENERATION_BYTES) {
      beginGeneration(List.of());
      deleteOthers(List.of(nameOf(generation), nameOf(generation - 1)));
    }
  }

  private void beginGeneration(List<OriginRecord> records) throws IOException {
    closeFile();
    DiskFile next = disk.create(TEMPORARY_NAME);
    file = Optional.of(next);
    writtenBytes = 0;
    append(next, records);
    next.sync();
    disk.rename(TEMPORARY_NAME, nameOf(generation + 1));
    generation++;
  }

  private void append(DiskFile target, List<OriginRecord> records) throws IOException {
    for (int from = 0; from < records.size(); from += MAX_FRAME_RECORDS) {
      int to = Math.min(records.size(), from + MAX_FRAME_RECORDS);
      byte[] payload =
          StoredOrigins.newBuilder()
              .setWrittenAtMs(timeOfDay.millis())
              .addAllVersions(OriginCodec.encode(records.subList(from, to)))
              .build()
              .toByteArray();
      target.append(RecordFrames.header(payload, 0));
      target.append(ByteBuffer.wrap(payload));
      writtenBytes += RecordFrames.HEADER_BYTES + payload.length;
    }
  }

  /** The end of the file is unknown after a failure, so that it is not appended to any more. */
  private void onFailure(Exception failure) {
    if (!failing) {
      LOG.warnf("versions of streams could not be saved; they are kept in memory: %s", failure);
    }
    failing = true;
    closeFile();
    deleteTemporary();
    synchronized (this) {
      overflowed = true;
      queue = new ArrayList<>();
    }
    retryAtMs = clock.millis() + RETRY_DELAY_MS;
  }

  private void closeFile() {
    try {
      if (file.isPresent()) {
        file.get().close();
      }
    } catch (IOException e) {
      LOG.debugf(e, "a file of versions of streams could not be closed");
    }
    file = Optional.empty();
  }

  /** Returns the space of an unfinished file, which a full disk needs most. */
  private void deleteTemporary() {
    try {
      disk.delete(TEMPORARY_NAME);
    } catch (IOException e) {
      LOG.debugf(e, "an unfinished file of versions of streams could not be deleted");
    }
  }

  /** Deletes older generations. One that cannot be deleted is left to the next time. */
  private void deleteOthers(List<String> keptNames) {
    try {
      for (String name : disk.list()) {
        if (name.startsWith(PREFIX) && !keptNames.contains(name)) {
          disk.delete(name);
        }
      }
    } catch (IOException e) {
      LOG.debugf(e, "an old file of versions of streams could not be deleted");
    }
  }

  private static String nameOf(long number) {
    return PREFIX + number;
  }

  /** Closes the file; what is still queued is not written. */
  void close() {
    closeFile();
  }

  /**
   * What was queued since the last write.
   *
   * @param records records to be appended
   * @param overflowed whether further records are in the table only
   */
  private record Queued(List<OriginRecord> records, boolean overflowed) {

    boolean isEmpty() {
      return records.isEmpty() && !overflowed;
    }
  }
}
