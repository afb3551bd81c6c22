package org.ragwortpick.consensus.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Outputs of the core. A message that promises something about the disk is held back until the
 * records created before it are synced.
 */
final class Outbox {

  private final String identity;
  private final List<LogRecord> records = new ArrayList<>();
  private final Deque<Held> held = new ArrayDeque<>();
  private List<Envelope> messages = new ArrayList<>();
  private long createdSequence;
  private long syncedSequence;

  /**
   * Creates empty outputs.
   *
   * @param identity identity of a replica
   */
  Outbox(String identity) {
    this.identity = identity;
  }

  /**
   * Adds a record and returns its sequence number.
   *
   * @param entry the entry
   * @return sequence number
   */
  long persist(LogRecord entry) {
    records.add(entry);
    return ++createdSequence;
  }

  /**
   * Returns whether a record is on disk.
   *
   * @param sequence sequence number of the record
   * @return whether it is
   */
  boolean isSynced(long sequence) {
    return sequence <= syncedSequence;
  }

  /**
   * Sends a message at once.
   *
   * @param to identity of the receiver
   * @param message the message
   */
  void send(String to, Message message) {
    messages.add(new Envelope(identity, to, message));
  }

  /**
   * Sends a message once the record with the sequence number is on disk.
   *
   * @param sequence sequence number of the record
   * @param to identity of the receiver
   * @param message the message
   */
  void sendAfterSync(long sequence, String to, Message message) {
    if (isSynced(sequence)) {
      send(to, message);
    } else {
      held.add(new Held(sequence, new Envelope(identity, to, message)));
    }
  }

  /**
   * Notes that all records up to a sequence number are on disk.
   *
   * @param sequence sequence number of the record
   */
  void synced(long sequence) {
    InvariantViolationException.check(
        sequence <= createdSequence, "only created records are synced", sequence, createdSequence);
    syncedSequence = Math.max(syncedSequence, sequence);
    for (Iterator<Held> iterator = held.iterator(); iterator.hasNext(); ) {
      Held next = iterator.next();
      if (isSynced(next.sequence)) {
        messages.add(next.envelope);
        iterator.remove();
      }
    }
  }

  /**
   * Hands out the messages to send.
   *
   * @return messages in order
   */
  List<Envelope> takeMessages() {
    List<Envelope> taken = messages;
    messages = new ArrayList<>();
    return taken;
  }

  /**
   * Hands out the records to persist.
   *
   * @return records in order
   */
  RecordBatch takeRecords() {
    RecordBatch batch = new RecordBatch(createdSequence, List.copyOf(records));
    records.clear();
    return batch;
  }

  /** Drops everything that was not handed out. */
  void clear() {
    records.clear();
    held.clear();
    messages = new ArrayList<>();
  }

  private record Held(long sequence, Envelope envelope) {}
}
