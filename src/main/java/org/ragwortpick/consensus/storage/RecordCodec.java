package org.ragwortpick.consensus.storage;

import com.google.protobuf.UnsafeByteOperations;
import org.ragwortpick.consensus.raft.HardState;
import org.ragwortpick.consensus.raft.LogEntry;
import org.ragwortpick.consensus.raft.Membership;
import org.ragwortpick.consensus.raft.RaftSnapshot;
import org.ragwortpick.proto.RaftEntry;
import org.ragwortpick.proto.RaftHardState;
import org.ragwortpick.proto.RaftLogHeader;
import org.ragwortpick.proto.RaftLogRecord;
import org.ragwortpick.proto.RaftStoredSnapshot;

/** Converts entries and records from and to their encoded form. */
public final class RecordCodec {

  private static final LogEntry.Kind[] KINDS = LogEntry.Kind.values();

  private RecordCodec() {}

  /**
   * Encodes an entry.
   *
   * @param entry the entry
   * @return its message; it shares the data of the entry
   */
  public static RaftEntry encode(LogEntry entry) {
    return RaftEntry.newBuilder()
        .setIndex(entry.index())
        .setTerm(entry.term())
        .setKind(entry.kind().ordinal())
        .setData(UnsafeByteOperations.unsafeWrap(entry.data()))
        .build();
  }

  /**
   * Decodes an entry.
   *
   * @param message the message
   * @return the entry
   */
  public static LogEntry decode(RaftEntry message) {
    return new LogEntry(
        message.getIndex(),
        message.getTerm(),
        KINDS[message.getKind()],
        message.getData().toByteArray());
  }

  /**
   * Encodes the record of an entry.
   *
   * @param entry the entry
   * @return encoded record
   */
  static RaftLogRecord encodeRecord(LogEntry entry) {
    return RaftLogRecord.newBuilder().setEntry(encode(entry)).build();
  }

  /**
   * Encodes the record of a term and vote.
   *
   * @param state term and vote
   * @return encoded record
   */
  static RaftLogRecord encodeRecord(HardState state) {
    return RaftLogRecord.newBuilder()
        .setHardState(
            RaftHardState.newBuilder().setTerm(state.term()).setVotedFor(state.votedFor()))
        .build();
  }

  /**
   * Encodes the record of a snapshot.
   *
   * @param snapshot the snapshot
   * @return encoded record
   */
  static RaftLogRecord encodeRecord(RaftSnapshot snapshot) {
    return RaftLogRecord.newBuilder()
        .setSnapshot(
            RaftStoredSnapshot.newBuilder()
                .setIndex(snapshot.index())
                .setTerm(snapshot.term())
                .setMembership(UnsafeByteOperations.unsafeWrap(snapshot.membership().encode()))
                .setData(UnsafeByteOperations.unsafeWrap(snapshot.data())))
        .build();
  }

  /**
   * Encodes the first record of a file.
   *
   * @param checkpointBytes size in bytes of the checkpoint that follows
   * @return encoded record
   */
  static RaftLogRecord encodeHeader(long checkpointBytes) {
    return RaftLogRecord.newBuilder()
        .setHeader(RaftLogHeader.newBuilder().setCheckpointBytes(checkpointBytes))
        .build();
  }

  /**
   * Decodes a term and vote.
   *
   * @param message the message
   * @return term and vote
   */
  static HardState decode(RaftHardState message) {
    return new HardState(message.getTerm(), message.getVotedFor());
  }

  /**
   * Decodes a snapshot.
   *
   * @param message the message
   * @return the snapshot
   */
  static RaftSnapshot decode(RaftStoredSnapshot message) {
    return new RaftSnapshot(
        message.getIndex(),
        message.getTerm(),
        Membership.decode(message.getMembership().toByteArray()),
        message.getData().toByteArray());
  }
}
