package org.ragwortpick.consensus.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.jboss.logging.Logger;
import org.ragwortpick.consensus.raft.LogRecord;
import org.ragwortpick.consensus.raft.RecoveredState;
import org.ragwortpick.proto.RaftLogRecord;

/**
 * Log file of one group.
 *
 * <p>A file {@code log-<n>} begins with a checkpoint (term, vote, snapshot and the entries after
 * it) that was synced before the file was renamed to this name. Records are appended to it. A new
 * checkpoint is written to a new file with the next number, so existing content is never
 * overwritten.
 *
 * <p>After a failed write or sync the end of the file is unknown. The store then refuses to append
 * until a checkpoint, which does not depend on the old file, has been written.
 */
public final class LogStore implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(LogStore.class);
  private static final String PREFIX = "log-";
  private static final String TEMPORARY_SUFFIX = ".tmp";
  private static final int WRITE_BUFFER_BYTES = 1024 * 1024;

  private final Disk disk;
  private final ByteBuffer buffer = ByteBuffer.allocate(WRITE_BUFFER_BYTES);
  private DiskFile file;
  private long fileNumber;
  private long writtenBytes;
  private long durableBytes;
  private boolean needsCheckpoint = true;
  private Optional<IOException> openingError = Optional.empty();

  private Optional<RecoveredState> recovered;

  private LogStore(Disk disk, long fileNumber, RecoveredState recovered) {
    this.disk = disk;
    this.fileNumber = fileNumber;
    this.recovered = Optional.of(recovered);
  }

  /**
   * Returns whether a folder contains a log.
   *
   * @param disk the folder
   * @return whether there is a log file
   * @throws IOException if the folder cannot be read
   */
  public static boolean exists(Disk disk) throws IOException {
    return lastFileNumber(disk).isPresent();
  }

  /**
   * Creates the log of a new replica.
   *
   * @param disk folder without a log
   * @param initial initial state
   * @return the store
   * @throws IOException if the log cannot be written
   */
  public static LogStore create(Disk disk, RecoveredState initial) throws IOException {
    LogStore store = new LogStore(disk, 0, initial);
    store.checkpoint(initial);
    return store;
  }

  /**
   * Opens an existing log. If the disk refuses writes the log is opened all the same: {@link
   * #openingError} is present, and what was read may not be durable until a checkpoint is written.
   *
   * @param disk folder with a log
   * @return the store
   * @throws IOException if the log cannot be read, or is damaged before its last record
   */
  public static LogStore open(Disk disk) throws IOException {
    long number =
        lastFileNumber(disk)
            .orElseThrow(() -> new CorruptDataFolderException("the log file is missing"));
    String name = PREFIX + number;
    RecoveredState recovered = new LogFileReader(name, disk.read(name)).read();
    LogStore store = new LogStore(disk, number, recovered);
    // After a failed sync the page cache may hold data that is not on the disk. Writing the data
    // that was read to a new file makes it durable before the replica relies on it.
    try {
      store.checkpoint(recovered);
    } catch (IOException e) {
      store.openingError = Optional.of(e);
    }
    return store;
  }

  /**
   * Returns the state that was read from the disk and releases it, because it would occupy memory
   * for the life of the store.
   *
   * @return state at the time of opening
   * @throws java.util.NoSuchElementException if it was already taken
   */
  public RecoveredState takeRecovered() {
    RecoveredState taken = recovered.orElseThrow();
    recovered = Optional.empty();
    return taken;
  }

  /**
   * Returns why the state that was read could not be made durable while the log was opened.
   *
   * @return the error; empty if the recovered state is durable
   */
  public Optional<IOException> openingError() {
    return openingError;
  }

  /**
   * Returns the size of the durable part of the log file.
   *
   * @return size in bytes
   */
  public long sizeBytes() {
    return durableBytes;
  }

  /**
   * Writes records and makes them durable with one sync.
   *
   * @param records records in order
   * @throws IOException if the records may not be durable; the records of the next call must
   *     include a checkpoint
   * @throws IllegalStateException if no checkpoint follows a failed write
   */
  public void write(List<LogRecord> records) throws IOException {
    int firstToAppend = 0;
    boolean afterError = needsCheckpoint;
    needsCheckpoint = true;
    for (int i = records.size() - 1; i >= 0; i--) {
      if (records.get(i) instanceof LogRecord.Checkpoint next) {
        // A checkpoint includes the effect of all records before it.
        checkpoint(next.state());
        firstToAppend = i + 1;
        break;
      }
    }
    if (afterError && firstToAppend == 0) {
      throw new IllegalStateException("only a checkpoint can follow a failed write");
    }
    for (LogRecord next : records.subList(firstToAppend, records.size())) {
      if (next instanceof LogRecord.State state) {
        append(RecordCodec.encodeRecord(state.state()));
      } else if (next instanceof LogRecord.Entry entry) {
        append(RecordCodec.encodeRecord(entry.entry()));
      }
    }
    if (firstToAppend < records.size()) {
      sync();
    }
    needsCheckpoint = false;
  }

  @Override
  public void close() throws IOException {
    if (file != null) {
      file.close();
    }
  }

  private void checkpoint(RecoveredState state) throws IOException {
    String name = PREFIX + (fileNumber + 1);
    List<RaftLogRecord> records = new ArrayList<>();
    records.add(RecordCodec.encodeRecord(state.hardState()));
    records.add(RecordCodec.encodeRecord(state.snapshot()));
    state.entries().forEach(entry -> records.add(RecordCodec.encodeRecord(entry)));
    long checkpointBytes = 0;
    for (RaftLogRecord next : records) {
      checkpointBytes += RecordFrames.HEADER_BYTES + next.getSerializedSize();
    }
    buffer.clear();
    DiskFile previousFile = file;
    file = disk.create(name + TEMPORARY_SUFFIX);
    if (previousFile != null) {
      previousFile.close();
    }
    writtenBytes = 0;
    durableBytes = 0;
    append(RecordCodec.encodeHeader(checkpointBytes));
    for (RaftLogRecord next : records) {
      append(next);
    }
    sync();
    disk.rename(name + TEMPORARY_SUFFIX, name);
    fileNumber++;
    needsCheckpoint = false;
    deleteOtherLogFiles(name);
  }

  private void append(RaftLogRecord content) throws IOException {
    byte[] payload = content.toByteArray();
    put(RecordFrames.header(payload, durableBytes));
    put(ByteBuffer.wrap(payload));
    writtenBytes += RecordFrames.HEADER_BYTES + payload.length;
  }

  private void put(ByteBuffer bytes) throws IOException {
    if (bytes.remaining() > buffer.remaining()) {
      flush();
    }
    if (bytes.remaining() > buffer.remaining()) {
      file.append(bytes);
    } else {
      buffer.put(bytes);
    }
  }

  private void flush() throws IOException {
    buffer.flip();
    if (buffer.hasRemaining()) {
      file.append(buffer);
    }
    buffer.clear();
  }

  private void sync() throws IOException {
    flush();
    file.sync();
    durableBytes = writtenBytes;
  }

  /** Deletes older files. One that cannot be deleted is left to the next checkpoint. */
  private void deleteOtherLogFiles(String keptName) {
    try {
      for (String fileName : disk.list()) {
        if (fileName.startsWith(PREFIX) && !fileName.equals(keptName)) {
          disk.delete(fileName);
        }
      }
    } catch (IOException e) {
      LOG.warnf(e, "an old log file could not be deleted; it is deleted with the next checkpoint");
    }
  }

  private static OptionalLong lastFileNumber(Disk disk) throws IOException {
    return disk.list().stream()
        .filter(name -> name.startsWith(PREFIX) && !name.endsWith(TEMPORARY_SUFFIX))
        .mapToLong(name -> Long.parseLong(name.substring(PREFIX.length())))
        .max();
  }
}
