package org.ragwortpick.consensus.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.OptionalLong;
import org.ragwortpick.consensus.raft.LogEntry;
import org.ragwortpick.consensus.raft.LogRecord;
import org.ragwortpick.consensus.raft.RecoveredState;

/**
 * Log file of one group.
 *
 * <p>A file {@code log-<n>} begins with a checkpoint (term, vote, snapshot and the entries after
 * it) that was synced before the file got its name. Records are appended to it. A new checkpoint is
 * a new file with the next number, so a file is never changed in the middle.
 */
public final class LogStore implements AutoCloseable {

  private static final String PREFIX = "log-";
  private static final String TEMPORARY_SUFFIX = ".tmp";
  private static final int WRITE_BUFFER_BYTES = 1024 * 1024;

  private final Disk disk;
  private final RecoveredState recovered;
  private final ByteBuffer buffer = ByteBuffer.allocate(WRITE_BUFFER_BYTES);
  private DiskFile file;
  private long fileNumber;
  private long writtenBytes;
  private long durableBytes;

  private LogStore(Disk disk, long fileNumber, RecoveredState recovered) throws IOException {
    this.disk = disk;
    this.fileNumber = fileNumber;
    this.recovered = recovered;
    // After a failed sync the page cache may hold what the disk does not. Writing what was read to
    // a new file makes it durable before the replica promises anything about it.
    checkpoint(recovered);
  }

  /**
   * Returns whether a folder holds a log.
   *
   * @param disk the folder
   * @return whether there is a log file
   * @throws IOException if the folder cannot be read
   */
  public static boolean exists(Disk disk) throws IOException {
    return lastNumber(disk).isPresent();
  }

  /**
   * Creates the log of a new replica.
   *
   * @param disk folder without a log
   * @param initial first state
   * @return the store
   * @throws IOException if the log cannot be written
   */
  public static LogStore create(Disk disk, RecoveredState initial) throws IOException {
    return new LogStore(disk, 0, initial);
  }

  /**
   * Opens an existing log.
   *
   * @param disk folder with a log
   * @return the store
   * @throws IOException if the log cannot be read, or is damaged before its last record
   */
  public static LogStore open(Disk disk) throws IOException {
    long number =
        lastNumber(disk)
            .orElseThrow(() -> new CorruptDataFolderException("the log file is missing"));
    String name = PREFIX + number;
    return new LogStore(disk, number, new LogFileReader(name, disk.read(name)).read());
  }

  /**
   * Returns the state that was found on disk.
   *
   * @return state at the time of opening
   */
  public RecoveredState recovered() {
    return recovered;
  }

  /**
   * Returns the size of the log file.
   *
   * @return size in bytes
   */
  public long sizeBytes() {
    return durableBytes;
  }

  /**
   * Writes records and syncs them together.
   *
   * @param records records in order
   * @throws IOException if they may not be durable; the store must not be used any more
   */
  public void write(List<LogRecord> records) throws IOException {
    int first = 0;
    for (int i = records.size() - 1; i >= 0; i--) {
      if (records.get(i) instanceof LogRecord.Checkpoint next) {
        // It includes the effect of all records before it.
        checkpoint(next.state());
        first = i + 1;
        break;
      }
    }
    for (LogRecord next : records.subList(first, records.size())) {
      if (next instanceof LogRecord.State state) {
        append(RecordCodec.record(state.state()));
      } else if (next instanceof LogRecord.Entry entry) {
        append(RecordCodec.record(entry.entry()));
      }
    }
    if (first < records.size()) {
      sync();
    }
  }

  @Override
  public void close() throws IOException {
    file.close();
  }

  private void checkpoint(RecoveredState state) throws IOException {
    String name = PREFIX + (fileNumber + 1);
    byte[] hardState = RecordCodec.record(state.hardState());
    byte[] snapshot = RecordCodec.record(state.snapshot());
    long bytes = 2L * RecordFrames.HEADER_BYTES + hardState.length + snapshot.length;
    for (LogEntry entry : state.entries()) {
      bytes += RecordFrames.HEADER_BYTES + RecordCodec.record(entry).length;
    }
    DiskFile old = file;
    file = disk.create(name + TEMPORARY_SUFFIX);
    if (old != null) {
      old.close();
    }
    writtenBytes = 0;
    durableBytes = 0;
    append(RecordCodec.header(bytes));
    append(hardState);
    append(snapshot);
    for (LogEntry entry : state.entries()) {
      append(RecordCodec.record(entry));
    }
    sync();
    disk.rename(name + TEMPORARY_SUFFIX, name);
    fileNumber++;
    deleteOthers(name);
  }

  private void append(byte[] payload) throws IOException {
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

  private void deleteOthers(String name) throws IOException {
    for (String other : disk.list()) {
      if (other.startsWith(PREFIX) && !other.equals(name)) {
        disk.delete(other);
      }
    }
  }

  private static OptionalLong lastNumber(Disk disk) throws IOException {
    return disk.list().stream()
        .filter(name -> name.startsWith(PREFIX) && !name.endsWith(TEMPORARY_SUFFIX))
        .mapToLong(name -> Long.parseLong(name.substring(PREFIX.length())))
        .max();
  }
}
