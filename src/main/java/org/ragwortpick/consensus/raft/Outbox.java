package org.ragwortpick.consensus.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Outputs of the core. A message that depends on durable state is held back until the records
 * created before it are synced.
 */
final class Outbox {

  /** Limit of the held messages; the oldest are dropped, as on a link that loses messages. */
  private static final int MAX_HELD_MESSAGES = 1_024;

  private final String identity;
  private final List<LogRecord> records = new ArrayList<>();
  private final Deque<HeldMessage> heldMessages = new ArrayDeque<>();
  private List<Envelope> messages = new ArrayList<>();
  private long createdSequence;
  private long syncedSequence;

  /**
   * Creates empty outputs.
   *
   * @param identity identity of this replica, the sender of all messages
   */
  Outbox(String identity) {
    this.identity = identity;
  }

  /**
   * Adds a record to persist.
   *
   * @param record the record
   * @return sequence number of the record
   */
  long persist(LogRecord record) {
    records.add(record);
    return ++createdSequence;
  }

  /**
   * Returns the sequence number of the last record.
   *
   * @return sequence number; 0 if there is none
   */
  long createdSequence() {
    return createdSequence;
  }

  /**
   * Returns whether a record is durable.
   *
   * @param sequence sequence number of the record
   * @return whether the record was synced
   */
  boolean isSynced(long sequence) {
    return sequence <= syncedSequence;
  }

  /**
   * Adds a message to send immediately.
   *
   * @param to identity of the receiver
   * @param message the message
   */
  void send(String to, Message message) {
    messages.add(new Envelope(identity, to, message));
  }

  /**
   * Adds a message to send once a record is durable.
   *
   * @param sequence sequence number of the record
   * @param to identity of the receiver
   * @param message the message
   */
  void sendAfterSync(long sequence, String to, Message message) {
    if (isSynced(sequence)) {
      send(to, message);
    } else {
      heldMessages.add(new HeldMessage(sequence, new Envelope(identity, to, message)));
      if (heldMessages.size() > MAX_HELD_MESSAGES) {
        heldMessages.removeFirst();
      }
    }
  }

  /**
   * Releases the messages that waited for the records up to a sequence number.
   *
   * @param sequence sequence number of the last synced record
   */
  void onSynced(long sequence) {
    InvariantViolationException.check(
        sequence <= createdSequence, "only created records are synced", sequence, createdSequence);
    syncedSequence = Math.max(syncedSequence, sequence);
    for (Iterator<HeldMessage> iterator = heldMessages.iterator(); iterator.hasNext(); ) {
      HeldMessage next = iterator.next();
      if (isSynced(next.sequence)) {
        messages.add(next.envelope);
        iterator.remove();
      }
    }
  }

  /**
   * Returns the messages to send and removes them from the outputs.
   *
   * @return messages in order
   */
  List<Envelope> takeMessages() {
    List<Envelope> taken = messages;
    messages = new ArrayList<>();
    return taken;
  }

  /**
   * Returns the records to persist and removes them from the outputs.
   *
   * @return records in order
   */
  RecordBatch takeRecords() {
    RecordBatch batch = new RecordBatch(createdSequence, List.copyOf(records));
    records.clear();
    return batch;
  }

  /** Discards the records that were not taken yet. A checkpoint must follow. */
  void discardRecords() {
    records.clear();
  }

  /** Discards all records and messages that were not taken yet. */
  void clear() {
    records.clear();
    heldMessages.clear();
    messages = new ArrayList<>();
  }

  private record HeldMessage(long sequence, Envelope envelope) {}
}
