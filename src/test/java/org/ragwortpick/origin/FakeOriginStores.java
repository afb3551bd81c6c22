package org.ragwortpick.origin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.VirtualTime;

/** Stores on virtual time that reply after a delay, fail, or do not reply. */
final class FakeOriginStores implements OriginStoreCalls {

  static final long CALL_TIMEOUT_MS = 400;

  /** Behaviour of a store. */
  enum Mode {
    REPLYING,
    REFUSING,
    SILENT
  }

  private final VirtualTime time;
  private final Map<HostPort, Store> stores = new LinkedHashMap<>();
  private int recordCalls;
  private int findCalls;
  private int largestBatch;

  FakeOriginStores(VirtualTime time, int count) {
    this.time = time;
    for (int i = 0; i < count; i++) {
      stores.put(new HostPort("10.0.0.1", 7_000 + i), new Store());
    }
  }

  List<HostPort> addresses() {
    return List.copyOf(stores.keySet());
  }

  Store store(int index) {
    return stores.get(addresses().get(index));
  }

  List<Store> all() {
    return List.copyOf(stores.values());
  }

  int recordCalls() {
    return recordCalls;
  }

  int findCalls() {
    return findCalls;
  }

  int largestBatch() {
    return largestBatch;
  }

  /** Returns the stores that hold a record. */
  List<Store> holding(OriginKey key) {
    return all().stream()
        .filter(store -> !store.table.find(key).equals(new OriginAnswer.Unknown()))
        .toList();
  }

  @Override
  public void record(HostPort address, List<OriginRecord> records, Consumer<Boolean> done) {
    recordCalls++;
    largestBatch = Math.max(largestBatch, records.size());
    Store store = stores.get(address);
    switch (store.mode) {
      case REPLYING ->
          time.schedule(
              store.delayMs,
              () -> {
                records.forEach(store.table::add);
                store.received.addAll(records);
                done.accept(true);
              });
      case REFUSING -> time.schedule(store.delayMs, () -> done.accept(false));
      default -> time.schedule(CALL_TIMEOUT_MS, () -> done.accept(false));
    }
  }

  @Override
  public void find(HostPort address, OriginKey key, Consumer<OriginAnswer> answered) {
    findCalls++;
    Store store = stores.get(address);
    switch (store.mode) {
      case REPLYING -> time.schedule(store.delayMs, () -> answered.accept(store.table.find(key)));
      case REFUSING ->
          time.schedule(store.delayMs, () -> answered.accept(new OriginAnswer.Unknown()));
      default -> time.schedule(CALL_TIMEOUT_MS, () -> answered.accept(new OriginAnswer.Unknown()));
    }
  }

  /** One store. */
  final class Store {

    private static final int MAX_RECORDS = 100_000;

    private final OriginTable table = new OriginTable(MAX_RECORDS, time.clock());
    private final List<OriginRecord> received = new ArrayList<>();
    private Mode mode = Mode.REPLYING;
    private long delayMs = 2;

    void setMode(Mode mode) {
      this.mode = mode;
    }

    void setDelayMs(long delayMs) {
      this.delayMs = delayMs;
    }

    OriginTable table() {
      return table;
    }

    List<OriginRecord> received() {
      return received;
    }
  }
}
