package org.ragwortpick.sync;

import java.time.Clock;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.ragwortpick.common.StateChart;
import org.ragwortpick.sync.directory.LoadLevels;

/** Life cycle of the local VM as defined by {@code vm.json}. It maintains the local VM record. */
public final class VmLifeCycle {

  private static final String CONFIGURATION_IN_FORCE = "CONFIGURATION_IN_FORCE";
  private static final String STOP_REQUESTED = "STOP_REQUESTED";
  private static final String ANSWERS_EXPIRED = "ANSWERS_EXPIRED";
  private static final String DRAINED = "DRAINED";

  /** Time for which a leaving VM accepts requests, because callers may still use its address. */
  public static final long LEAVING_MS =
      SyncTimings.ADDRESS_VALIDITY_MS + SyncTimings.ADDRESS_MARGIN_MS;

  private final StateChart chart = StateChart.load("vm.json");
  private final Clock clock;
  private final ConfigurationView view;
  private final IntSupplier inFlight;
  private final Consumer<VmRecord> publisher;
  private volatile VmRecord record;
  private final long leavingMs;
  private volatile boolean reachesUpstreams = true;
  private long leavingSinceMs;

  /**
   * Creates the life cycle of a VM whose address responses have the standard validity.
   *
   * @param identity identity of the local VM
   * @param clock monotonic clock
   * @param view configuration view
   * @param inFlight number of requests in flight
   * @param publisher receiver of each new version of the record
   */
  public VmLifeCycle(
      SyncIdentity identity,
      Clock clock,
      ConfigurationView view,
      IntSupplier inFlight,
      Consumer<VmRecord> publisher) {
    this(identity, clock, view, inFlight, publisher, LEAVING_MS);
  }

  /**
   * Creates the life cycle in its initial state and publishes the record.
   *
   * @param identity identity of the local VM
   * @param clock monotonic clock
   * @param view configuration view
   * @param inFlight number of requests in flight
   * @param publisher receiver of each new version of the record
   * @param leavingMs time in milliseconds for which a leaving VM accepts requests, because callers
   *     may still have its address
   */
  public VmLifeCycle(
      SyncIdentity identity,
      Clock clock,
      ConfigurationView view,
      IntSupplier inFlight,
      Consumer<VmRecord> publisher,
      long leavingMs) {
    this.leavingMs = leavingMs;
    this.clock = clock;
    this.view = view;
    this.inFlight = inFlight;
    this.publisher = publisher;
    this.record =
        new VmRecord(
            identity.vm(),
            identity.incarnation(),
            1,
            identity.dataCentre(),
            identity.callerAddress(),
            identity.peerAddress(),
            VmState.valueOf(chart.initialState()),
            0,
            identity.isControl(),
            identity.processorPercent());
    publisher.accept(record);
  }

  /**
   * Returns the local VM record.
   *
   * @return the record
   */
  public VmRecord record() {
    return record;
  }

  /**
   * Returns the state.
   *
   * @return the state
   */
  public VmState state() {
    return record.state();
  }

  /** Requests a graceful stop. Repeated requests have no effect. */
  public synchronized void requestStop() {
    if (fire(STOP_REQUESTED)) {
      leavingSinceMs = clock.millis();
    }
  }

  /**
   * Sets whether the VM reaches upstreams. A change is published with the next tick.
   *
   * @param reaches false if the VM is known to reach no upstream of any service
   */
  public void setReachesUpstreams(boolean reaches) {
    reachesUpstreams = reaches;
  }

  /** Advances the state and publishes what else has changed. */
  public synchronized void tick() {
    if (state() == VmState.STARTING && view.isInForce()) {
      fire(CONFIGURATION_IN_FORCE);
    }
    if (state() == VmState.LEAVING && clock.millis() - leavingSinceMs >= leavingMs) {
      fire(ANSWERS_EXPIRED);
    }
    int requests = inFlight.getAsInt();
    if (state() == VmState.DRAINING && requests == 0) {
      fire(DRAINED);
    }
    int level = LoadLevels.ofVm(requests);
    if (level != record.load() || reachesUpstreams != record.reachesUpstreams()) {
      publish(state(), level);
    }
  }

  private boolean fire(String event) {
    return chart
        .next(state().name(), event)
        .map(
            next -> {
              publish(VmState.valueOf(next), record.load());
              return true;
            })
        .orElse(false);
  }

  private void publish(VmState state, int load) {
    record =
        new VmRecord(
            record.vm(),
            record.incarnation(),
            record.sequence() + 1,
            record.dataCentre(),
            record.callerAddress(),
            record.peerAddress(),
            state,
            load,
            record.control(),
            record.processorPercent(),
            reachesUpstreams);
    publisher.accept(record);
  }
}
