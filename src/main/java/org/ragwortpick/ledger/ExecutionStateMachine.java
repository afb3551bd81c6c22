package org.ragwortpick.ledger;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ragwortpick.consensus.StateMachine;
import org.ragwortpick.proto.DroppedKeysMessage;
import org.ragwortpick.proto.LedgerCommand;
import org.ragwortpick.proto.LedgerReply;
import org.ragwortpick.proto.LedgerSnapshot;
import org.ragwortpick.proto.StoredRecordMessage;

/** Replicated state machine of the execution records of one consensus group. */
public final class ExecutionStateMachine implements StateMachine {

  private ExecutionTable table = new ExecutionTable();

  @Override
  public synchronized byte[] apply(long index, byte[] command) {
    LedgerCommand decoded = parse(command);
    table.advanceTo(decoded.getTimeMs());
    table.setSteadyTime(
        table.steadyTime().advancedTo(decoded.getClockId(), decoded.getMonotonicMs()));
    return applyOperation(decoded).toByteArray();
  }

  private static LedgerCommand parse(byte[] command) {
    try {
      return LedgerCommand.parseFrom(command);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException(
          "cannot decode a ledger command; run the same release on all control VMs", e);
    }
  }

  private LedgerReply applyOperation(LedgerCommand command) {
    return switch (command.getOperationCase()) {
      case BEGIN ->
          table
              .begin(LedgerCodec.decode(command.getBegin()))
              .fold(
                  LedgerCodec::encode,
                  result ->
                      LedgerReply.newBuilder()
                          .setGranted(result.granted())
                          .setRecordAgeMs(result.recordAgeMs())
                          .setRecord(LedgerCodec.encode(result.record()))
                          .build());
      case FINISH ->
          table
              .finish(LedgerCodec.decode(command.getFinish()))
              .fold(
                  LedgerCodec::encode,
                  record -> LedgerReply.newBuilder().setRecord(LedgerCodec.encode(record)).build());
      case SWEEP -> {
        table.sweep();
        yield LedgerReply.getDefaultInstance();
      }
      default ->
          throw new IllegalArgumentException(
              "unknown ledger operation "
                  + command.getOperationCase()
                  + "; run the same release on all control VMs");
    };
  }

  /**
   * Returns a record of the local replica. It is up-to-date only while the replica holds the leader
   * lease.
   *
   * @param key identity of the call
   * @return the record; empty if the key is unknown
   */
  public synchronized Optional<ExecutionRecord> status(ExecutionKey key) {
    return table.status(key);
  }

  /**
   * Returns whether a sweep at the given time would make a change.
   *
   * @param nowMs time in milliseconds since 1970
   * @return true if a sweep is due
   */
  public synchronized boolean isSweepDue(long nowMs) {
    return table.isSweepDue(nowMs);
  }

  /**
   * Returns the number of full records.
   *
   * @return number of records, without dropped ones
   */
  public synchronized int size() {
    return table.records().size();
  }

  @Override
  public byte[] snapshot() {
    LedgerSnapshot.Builder snapshot = LedgerSnapshot.newBuilder();
    List<StoredExecution> records;
    synchronized (this) {
      SteadyTime steady = table.steadyTime();
      snapshot
          .setTimeMs(table.timeMs())
          .setSteadyMs(steady.steadyMs())
          .setClockId(steady.clockId())
          .setMonotonicMs(steady.monotonicMs());
      records = new ArrayList<>(table.records());
      table
          .droppedKeys()
          .digestsByDay()
          .forEach(
              (day, digests) ->
                  snapshot.addDroppedKeys(
                      DroppedKeysMessage.newBuilder()
                          .setDay(day)
                          .setDigests(ByteString.copyFrom(digests.encode()))));
    }
    // Records are immutable. Encoding them takes long and must not block status calls.
    records.forEach(
        stored ->
            snapshot.addRecords(
                StoredRecordMessage.newBuilder()
                    .setRecord(LedgerCodec.encode(stored.record()))
                    .setLeaseEndMs(stored.leaseEndMs())
                    .setDispatched(stored.dispatched())
                    .setSteadyAtMs(stored.steadyAtMs())));
    return snapshot.build().toByteArray();
  }

  @Override
  public synchronized void restore(byte[] snapshot) {
    ExecutionTable restored = new ExecutionTable();
    LedgerSnapshot decoded;
    try {
      decoded = LedgerSnapshot.parseFrom(snapshot);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException(
          "cannot decode a ledger snapshot; run the same release on all control VMs", e);
    }
    restored.advanceTo(decoded.getTimeMs());
    restored.setSteadyTime(
        new SteadyTime(decoded.getSteadyMs(), decoded.getClockId(), decoded.getMonotonicMs()));
    decoded
        .getRecordsList()
        .forEach(
            message ->
                restored.store(
                    new StoredExecution(
                        LedgerCodec.decode(message.getRecord()),
                        message.getLeaseEndMs(),
                        message.getDispatched(),
                        message.getSteadyAtMs())));
    decoded
        .getDroppedKeysList()
        .forEach(
            message ->
                restored
                    .droppedKeys()
                    .restore(message.getDay(), message.getDigests().asReadOnlyByteBuffer()));
    table = restored;
  }
}
