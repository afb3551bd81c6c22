package org.ragwortpick.origin;

import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.Timers;
import org.ragwortpick.peer.PeerChannels;

/**
 * Records of an entry VM, which are also kept by stores on control VMs. Confined to one thread,
 * which is also called back.
 */
public final class RemoteStreamOrigins implements StreamOrigins {

  /** Bounds the memory to about 2 MB. */
  static final int MAX_RECORDS = 20_000;

  /** Delay of a record for the sake of larger batches: calls cost more than records. */
  static final long BATCH_DELAY_MS = 100;

  private final OriginTable table;
  private final OriginSender sender;
  private final OriginLookups lookups;

  /**
   * Creates an instance without records.
   *
   * @param vm name of this VM
   * @param stores supplies the peer addresses of the control VMs that keep records
   * @param channels channels to the other VMs
   * @param loop thread to which this object is confined
   * @param timers timers of that thread
   * @param clock monotonic clock
   */
  public RemoteStreamOrigins(
      String vm,
      Supplier<List<HostPort>> stores,
      PeerChannels channels,
      Executor loop,
      Timers timers,
      Clock clock) {
    this(vm, stores, new GrpcOriginStoreCalls(channels, loop), BATCH_DELAY_MS, timers, clock);
  }

  /**
   * Creates an instance without records.
   *
   * @param vm name of this VM
   * @param stores supplies the peer addresses of the control VMs that keep records
   * @param calls calls to the stores
   * @param batchDelayMs longest delay of a record for the sake of larger batches in milliseconds
   * @param timers timers of the thread
   * @param clock monotonic clock
   */
  RemoteStreamOrigins(
      String vm,
      Supplier<List<HostPort>> stores,
      OriginStoreCalls calls,
      long batchDelayMs,
      Timers timers,
      Clock clock) {
    this.table = new OriginTable(MAX_RECORDS, clock);
    this.sender = new OriginSender(vm, stores, calls, batchDelayMs, timers, clock);
    this.lookups = new OriginLookups(stores, calls, timers);
  }

  @Override
  public void record(String requestId, String version, long lifetimeMs) {
    long boundedMs = Math.min(lifetimeMs, OriginTable.MAX_LIFETIME_MS);
    OriginKey.of(requestId)
        .map(key -> new OriginRecord(key, version, boundedMs))
        .filter(OriginRecord::isValid)
        .ifPresent(this::add);
  }

  private void add(OriginRecord added) {
    table.add(added);
    sender.add(added);
  }

  @Override
  public void find(String requestId, Consumer<Optional<String>> found) {
    Optional<OriginKey> key = OriginKey.of(requestId);
    if (key.isEmpty()) {
      found.accept(Optional.empty());
      return;
    }
    OriginAnswer own = table.find(key.get());
    if (own instanceof OriginAnswer.Unknown) {
      lookups.find(key.get(), found);
    } else {
      found.accept(own.certainVersion());
    }
  }
}
