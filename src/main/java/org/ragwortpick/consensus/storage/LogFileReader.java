package org.ragwortpick.consensus.storage;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ragwortpick.consensus.raft.HardState;
import org.ragwortpick.consensus.raft.LogEntry;
import org.ragwortpick.consensus.raft.RaftSnapshot;
import org.ragwortpick.consensus.raft.RecoveredState;
import org.ragwortpick.proto.RaftLogRecord;

/** Reads the state of a replica from one log file. */
final class LogFileReader {

  private final String name;
  private final byte[] file;
  private final List<LogEntry> entries = new ArrayList<>();
  private HardState hardState;
  private RaftSnapshot snapshot;

  /**
   * Creates a reader.
   *
   * @param name name of the file
   * @param file content of the file
   */
  LogFileReader(String name, byte[] file) {
    this.name = name;
    this.file = file;
  }

  /**
   * Returns the state after the last intact record. A torn write at the end of the file is ignored.
   *
   * @return the state
   * @throws IOException if durable data is damaged
   */
  RecoveredState read() throws IOException {
    RecordFrames.Frame header =
        RecordFrames.read(file, 0).orElseThrow(() -> damaged("at its beginning"));
    long syncedBytes = header.endOffset() + parse(header).getHeader().getCheckpointBytes();
    int offset = header.endOffset();
    while (offset < file.length) {
      Optional<RecordFrames.Frame> frame = RecordFrames.read(file, offset);
      if (frame.isEmpty()) {
        break;
      }
      apply(parse(frame.get()));
      offset = frame.get().endOffset();
    }
    if (offset < syncedBytes || RecordFrames.wasDurable(file, offset)) {
      throw damaged("at byte " + offset + ", before its last record");
    }
    return new RecoveredState(hardState, snapshot, entries);
  }

  private void apply(RaftLogRecord content) throws IOException {
    switch (content.getContentCase()) {
      case HARD_STATE -> hardState = RecordCodec.decode(content.getHardState());
      case SNAPSHOT -> snapshot = RecordCodec.decode(content.getSnapshot());
      case ENTRY -> append(RecordCodec.decode(content.getEntry()));
      default -> throw damaged("by a record of unknown content");
    }
  }

  private void append(LogEntry entry) throws IOException {
    long next = snapshot.index() + entries.size() + 1;
    if (entry.index() > next || entry.index() <= snapshot.index()) {
      throw damaged("by entry " + entry.index() + ", which does not follow entry " + (next - 1));
    }
    entries.subList((int) (entry.index() - snapshot.index() - 1), entries.size()).clear();
    entries.add(entry);
  }

  private RaftLogRecord parse(RecordFrames.Frame frame) throws IOException {
    try {
      return RaftLogRecord.parseFrom(
          CodedInputStream.newInstance(file, frame.payloadOffset(), frame.payloadLength()));
    } catch (InvalidProtocolBufferException e) {
      throw damaged("by a record that cannot be decoded");
    }
  }

  private CorruptDataFolderException damaged(String where) {
    return new CorruptDataFolderException("log file " + name + " is damaged " + where);
  }
}
