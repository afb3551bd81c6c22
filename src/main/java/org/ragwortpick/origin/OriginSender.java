package org.ragwortpick.origin;

import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.Timers;
import org.ragwortpick.policy.select.Rendezvous;

/**
 * Sends the records of an entry VM in batches, each to two stores. If a store fails, the batch goes
 * to the next one. Confined to one thread.
 */
final class OriginSender {

  /** Largest number of records in a batch. */
  static final int MAX_BATCH_RECORDS = 500;

  /** Largest number of records that wait to be sent. */
  static final int MAX_QUEUED = 10_000;

  /** Batches whose replies are outstanding; further records wait, and make larger batches. */
  static final int MAX_BATCHES_IN_FLIGHT = 32;

  /** Time after which batches are sent again that no store has taken. */
  static final long RETRY_DELAY_MS = 1_000;

  /** Time for which a store that failed is tried last. */
  static final long SUSPICION_MS = 2_000;

  private static final int COPIES = 2;
  private static final long LOG_INTERVAL_MS = 60_000;
  private static final Logger LOG = Logger.getLogger(OriginSender.class);

  private final String vm;
  private final Supplier<List<HostPort>> stores;
  private final OriginStoreCalls calls;
  private final long batchDelayMs;
  private final Timers timers;
  private final Clock clock;
  private final Deque<OriginRecord> queue = new ArrayDeque<>();
  private final Map<HostPort, Long> suspectedUntilMs = new HashMap<>();
  private int batchesInFlight;
  private boolean flushScheduled;
  private long retryAtMs;
  private long droppedRecords;
  private long logAtMs;

  /**
   * Creates a sender.
   *
   * @param vm name of this VM
   * @param stores supplies the peer addresses of the stores
   * @param calls calls to the stores
   * @param batchDelayMs longest delay of a record for the sake of larger batches in milliseconds
   * @param timers timers of the thread
   * @param clock monotonic clock
   */
  OriginSender(
      String vm,
      Supplier<List<HostPort>> stores,
      OriginStoreCalls calls,
      long batchDelayMs,
      Timers timers,
      Clock clock) {
    this.vm = vm;
    this.stores = stores;
    this.calls = calls;
    this.batchDelayMs = batchDelayMs;
    this.timers = timers;
    this.clock = clock;
  }

  /**
   * Queues a record. If the queue is full, its oldest record is dropped.
   *
   * @param added the record
   */
  void add(OriginRecord added) {
    queue.add(added);
    dropBeyondLimit();
    scheduleFlush();
  }

  private void dropBeyondLimit() {
    while (queue.size() > MAX_QUEUED) {
      queue.remove();
      droppedRecords++;
    }
    if (droppedRecords > 0 && clock.millis() >= logAtMs) {
      LOG.warnf(
          "%d versions of streams were not sent to a control VM; after a loss of this VM these"
              + " streams cannot be taken up",
          droppedRecords);
      droppedRecords = 0;
      logAtMs = clock.millis() + LOG_INTERVAL_MS;
    }
  }

  private void scheduleFlush() {
    if (queue.size() >= MAX_BATCH_RECORDS && maySend()) {
      sendBatches();
    }
    if (!flushScheduled && !queue.isEmpty() && batchesInFlight < MAX_BATCHES_IN_FLIGHT) {
      flushScheduled = true;
      timers.schedule(Math.max(batchDelayMs, retryAtMs - clock.millis()), this::flush);
    }
  }

  private void flush() {
    flushScheduled = false;
    sendBatches();
    scheduleFlush();
  }

  private boolean maySend() {
    return batchesInFlight < MAX_BATCHES_IN_FLIGHT && clock.millis() >= retryAtMs;
  }

  private void sendBatches() {
    while (!queue.isEmpty() && maySend()) {
      List<OriginRecord> records = new ArrayList<>();
      while (!queue.isEmpty() && records.size() < MAX_BATCH_RECORDS) {
        records.add(queue.remove());
      }
      batchesInFlight++;
      new Batch(records, orderedStores()).send();
    }
  }

  /** Orders the stores by rendezvous hashing, those that failed lately last. */
  private List<HostPort> orderedStores() {
    long nowMs = clock.millis();
    suspectedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
    Comparator<HostPort> bySuspicion = Comparator.comparing(suspectedUntilMs::containsKey);
    return stores.get().stream()
        .distinct()
        .sorted(
            bySuspicion.thenComparing(
                Comparator.<HostPort>comparingLong(store -> Rendezvous.score(vm, store.toString()))
                    .reversed()))
        .collect(Collectors.toList());
  }

  private void onBatchEnded(Batch batch) {
    batchesInFlight--;
    if (batch.copiesStored == 0) {
      retryAtMs = clock.millis() + RETRY_DELAY_MS;
      List<OriginRecord> records = batch.records;
      for (int i = records.size() - 1; i >= 0; i--) {
        queue.addFirst(records.get(i));
      }
      dropBeyondLimit();
    }
    scheduleFlush();
  }

  /** Batch that is on its way to the stores. */
  private final class Batch {

    private final List<OriginRecord> records;
    private final Deque<HostPort> untried;
    private int copiesInFlight = COPIES;
    private int copiesStored;

    Batch(List<OriginRecord> records, List<HostPort> stores) {
      this.records = List.copyOf(records);
      this.untried = new ArrayDeque<>(stores);
    }

    void send() {
      for (int i = 0; i < COPIES; i++) {
        sendCopy();
      }
    }

    private void sendCopy() {
      HostPort store = untried.poll();
      if (store == null) {
        onCopyEnded();
        return;
      }
      calls.record(store, records, stored -> onReply(store, stored));
    }

    private void onReply(HostPort store, boolean stored) {
      if (stored) {
        copiesStored++;
        onCopyEnded();
      } else {
        suspectedUntilMs.put(store, clock.millis() + SUSPICION_MS);
        sendCopy();
      }
    }

    private void onCopyEnded() {
      copiesInFlight--;
      if (copiesInFlight == 0) {
        onBatchEnded(this);
      }
    }
  }
}
