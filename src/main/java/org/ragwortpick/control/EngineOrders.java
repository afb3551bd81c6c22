package org.ragwortpick.control;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.jboss.logging.Logger;
import org.ragwortpick.consensus.ConsensusGroup;
import org.ragwortpick.control.leader.LeaderLease;
import org.ragwortpick.control.leader.LeaderTenure;
import org.ragwortpick.proto.CloseOrderCommand;
import org.ragwortpick.proto.ConfigurationCommand;
import org.ragwortpick.proto.OrderCommand;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamDirectory;

/**
 * Engine orders of the leader. An order is recorded before it is sent, resent with the same id
 * until an announcement of the engine shows its effect, and fenced against a previous leader.
 */
public final class EngineOrders {

  private static final Logger LOG = Logger.getLogger(EngineOrders.class);

  /** Timeout of one attempt; an engine accepts an order before it executes it. */
  private static final long SEND_TIMEOUT_MS = 1_000;

  /** Time after which an order whose effect is not announced is resent. */
  private static final long RESEND_AFTER_MS = 2_000;

  /**
   * Time that a new leader waits before it sends an order to an engine that ignores fencing tokens:
   * the lease of the previous leader, plus 1% for clock drift.
   */
  private static final long PREVIOUS_LEASE_WAIT_MS =
      LeaderLease.LEASE_MS + LeaderLease.LEASE_MS / 100;

  /** Time as leader after which an engine that is not in the directory counts as removed. */
  private static final long REMOVED_AFTER_MS = 60_000;

  private final ConsensusGroup group;
  private final ConfigurationStateMachine machine;
  private final UpstreamDirectory directory;
  private final EngineClient client;
  private final LeaderLease lease;
  private final LeaderTenure tenure;
  private final TokenBucket weightStoreLimit;
  private final Clock monotonicClock;
  private final Map<String, Long> sentAtMs = new HashMap<>();

  /** Loads whose orders are proposed but not applied yet; they must not get a second order. */
  private final Set<PlannedLoad> loadsBeingRecorded = ConcurrentHashMap.newKeySet();

  private long nextOrderNumber;

  /**
   * Creates the engine orders of one control VM.
   *
   * @param group the group {@code config}
   * @param machine its local state machine
   * @param directory upstreams known to the local VM
   * @param client sends orders
   * @param lease lease of the local replica as leader of the group
   * @param tenure time for which the local replica has led the group
   * @param weightStoreLimit rate limit of loads from the weight store
   * @param monotonicClock clock for resends
   */
  public EngineOrders(
      ConsensusGroup group,
      ConfigurationStateMachine machine,
      UpstreamDirectory directory,
      EngineClient client,
      LeaderLease lease,
      LeaderTenure tenure,
      TokenBucket weightStoreLimit,
      Clock monotonicClock) {
    this.group = group;
    this.machine = machine;
    this.directory = directory;
    this.client = client;
    this.lease = lease;
    this.tenure = tenure;
    this.weightStoreLimit = weightStoreLimit;
    this.monotonicClock = monotonicClock;
  }

  /**
   * Makes the open load orders match the required loads: records an order for each load that has
   * none, and closes orders that cover no required load. An order is sent after it is committed.
   *
   * @param loads all required loads
   */
  public synchronized void requireLoads(List<PlannedLoad> loads) {
    List<EngineOrder> open =
        machine.openOrders().stream()
            .filter(order -> order.action() != OrderAction.SET_ROLE)
            .toList();
    for (EngineOrder order : open) {
      if (loads.stream().noneMatch(order::covers)) {
        close(order);
      }
    }
    for (PlannedLoad load : loads) {
      if (open.stream().noneMatch(order -> order.covers(load)) && loadsBeingRecorded.add(load)) {
        recordOrder(load, "").whenComplete((result, failure) -> loadsBeingRecorded.remove(load));
      }
    }
  }

  /**
   * Orders an engine to change its role.
   *
   * @param upstreamId id of the engine
   * @param role role to change to
   */
  public synchronized void requireRole(String upstreamId, String role) {
    recordOrder(new PlannedLoad(upstreamId, OrderAction.SET_ROLE, "", "", ""), role);
  }

  private CompletionStage<?> recordOrder(PlannedLoad load, String role) {
    long term = group.leadership().term();
    // A process leads a term at most once, so the term and a counter of the process are unique.
    EngineOrder order =
        new EngineOrder(
            term + "-" + nextOrderNumber++,
            load.upstreamId(),
            load.action(),
            load.model(),
            load.version(),
            load.adapter(),
            role,
            term);
    return propose(
        ConfigurationCommand.newBuilder()
            .setOrder(OrderCommand.newBuilder().setOrder(ControlCodec.encode(order))));
  }

  private CompletionStage<?> propose(ConfigurationCommand.Builder command) {
    return group
        .propose(command.build().toByteArray())
        .thenAccept(
            result ->
                result
                    .swap()
                    .forEach(
                        error ->
                            LOG.debugf(
                                "engine order command was not committed: %s", error.message())));
  }

  /** Sends the recorded orders that are due and closes those whose effect is announced. */
  public synchronized void poll() {
    if (tenure.leadingForMs() == 0) {
      sentAtMs.clear();
    }
    if (!lease.isHeld()) {
      return;
    }
    List<EngineOrder> open = machine.openOrders();
    sentAtMs.keySet().retainAll(open.stream().map(EngineOrder::orderId).toList());
    for (EngineOrder order : open) {
      Optional<Upstream> engine = directory.find(order.upstreamId());
      boolean removed = engine.isEmpty() && tenure.leadingForMs() >= REMOVED_AFTER_MS;
      if (removed || engine.isPresent() && order.isConfirmedBy(engine.get())) {
        close(order);
      } else if (engine.isPresent() && isSafeFromPreviousLeader(engine.get()) && isDue(order)) {
        send(order, engine.get());
      }
    }
  }

  /** Evaluated last, because the first attempt of an order takes a token of the weight store. */
  private boolean isDue(EngineOrder order) {
    Long lastSentAtMs = sentAtMs.get(order.orderId());
    return lastSentAtMs == null
        ? weightStoreLimit.tryTake()
        : monotonicClock.millis() - lastSentAtMs >= RESEND_AFTER_MS;
  }

  private boolean isSafeFromPreviousLeader(Upstream engine) {
    return engine.checksFencing() || tenure.leadingForMs() >= PREVIOUS_LEASE_WAIT_MS;
  }

  private void send(EngineOrder order, Upstream engine) {
    long token = group.leadership().term();
    // Checked last, so that delays before this point cannot outlast the lease.
    if (!lease.isHeld()) {
      return;
    }
    sentAtMs.put(order.orderId(), monotonicClock.millis());
    client
        .send(engine.address(), order, token, SEND_TIMEOUT_MS)
        .thenAccept(outcome -> onOutcome(order, outcome));
  }

  private void onOutcome(EngineOrder order, OrderOutcome outcome) {
    if (outcome == OrderOutcome.TOKEN_OLD) {
      LOG.warnf(
          "engine %s refused order %s because it has seen a higher fencing token;"
              + " check whether another cluster sends it orders",
          order.upstreamId(), order.orderId());
    }
    if (outcome == OrderOutcome.TAKEN && order.action() == OrderAction.SET_ROLE) {
      close(order);
    }
  }

  private void close(EngineOrder order) {
    propose(
        ConfigurationCommand.newBuilder()
            .setCloseOrder(CloseOrderCommand.newBuilder().setOrderId(order.orderId())));
  }
}
