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
 * Orders to engines on the leader: recorded before they are sent, sent again under the same id
 * until the announcement of the engine shows their effect, and fenced against an old leader.
 */
public final class EngineOrders {

  private static final Logger LOG = Logger.getLogger(EngineOrders.class);

  /** Time of waiting for the answer of an engine, which only notes the order. */
  private static final long SEND_TIMEOUT_MS = 1_000;

  /** Time after which an order whose effect is not announced is sent again. */
  private static final long RESEND_AFTER_MS = 2_000;

  /**
   * Time that a new leader waits before it sends an order to an engine that ignores fencing tokens:
   * the lease of the old leader, plus 1% by which the clocks may differ.
   */
  private static final long OLD_LEADER_WAIT_MS = LeaderLease.LEASE_MS + LeaderLease.LEASE_MS / 100;

  /** Time of leading after which an engine that is not in the directory counts as gone. */
  private static final long GONE_AFTER_MS = 60_000;

  private final ConsensusGroup group;
  private final ConfigurationStateMachine machine;
  private final UpstreamDirectory directory;
  private final EngineClient client;
  private final LeaderLease lease;
  private final LeaderTenure tenure;
  private final TokenBucket weightStore;
  private final Clock monotonicClock;
  private final Map<String, Long> sentAtMs = new HashMap<>();

  /** Loads whose orders are proposed and not yet applied; they must not get a second id. */
  private final Set<PlannedLoad> recording = ConcurrentHashMap.newKeySet();

  private long orderCount;

  /**
   * Creates the orders of one control VM.
   *
   * @param group the group {@code config}
   * @param machine its local state machine
   * @param directory upstreams known to the local VM
   * @param client sends orders
   * @param lease lease of the local replica as leader of the group
   * @param tenure time for which the local replica leads the group
   * @param weightStore rate limit of loads from the weight store
   * @param monotonicClock clock for repetitions
   */
  public EngineOrders(
      ConsensusGroup group,
      ConfigurationStateMachine machine,
      UpstreamDirectory directory,
      EngineClient client,
      LeaderLease lease,
      LeaderTenure tenure,
      TokenBucket weightStore,
      Clock monotonicClock) {
    this.group = group;
    this.machine = machine;
    this.directory = directory;
    this.client = client;
    this.lease = lease;
    this.tenure = tenure;
    this.weightStore = weightStore;
    this.monotonicClock = monotonicClock;
  }

  /**
   * Makes the open load orders match the needed loads: records an order for each load that has
   * none, and closes orders that no load asks for. An order is sent after it is committed.
   *
   * @param loads all loads that are needed
   */
  public synchronized void require(List<PlannedLoad> loads) {
    List<EngineOrder> open =
        machine.orders().stream().filter(order -> order.action() != OrderAction.SET_ROLE).toList();
    for (EngineOrder order : open) {
      if (loads.stream().noneMatch(order::fulfils)) {
        close(order);
      }
    }
    for (PlannedLoad load : loads) {
      if (open.stream().noneMatch(order -> order.fulfils(load)) && recording.add(load)) {
        record(load, "").whenComplete((result, failure) -> recording.remove(load));
      }
    }
  }

  /**
   * Orders an engine to change its role.
   *
   * @param upstreamId engine
   * @param role role to take
   */
  public synchronized void requireRole(String upstreamId, String role) {
    record(new PlannedLoad(upstreamId, OrderAction.SET_ROLE, "", "", ""), role);
  }

  private CompletionStage<?> record(PlannedLoad load, String role) {
    long term = group.leadership().term();
    // A process leads a term once, so the term and a count in the process are unique.
    EngineOrder order =
        new EngineOrder(
            term + "-" + orderCount++,
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
                    .forEach(error -> LOG.debugf("order not recorded: %s", error.message())));
  }

  /** Sends the recorded orders that are due and closes those whose effect is announced. */
  public synchronized void poll() {
    if (tenure.leadingForMs() == 0) {
      sentAtMs.clear();
    }
    if (!lease.isHeld()) {
      return;
    }
    List<EngineOrder> open = machine.orders();
    sentAtMs.keySet().retainAll(open.stream().map(EngineOrder::orderId).toList());
    for (EngineOrder order : open) {
      Optional<Upstream> engine = directory.find(order.upstreamId());
      boolean gone = engine.isEmpty() && tenure.leadingForMs() >= GONE_AFTER_MS;
      if (gone || engine.isPresent() && order.isDoneBy(engine.get())) {
        close(order);
      } else if (engine.isPresent() && mayOrder(engine.get()) && isDue(order)) {
        send(order, engine.get());
      }
    }
  }

  /** Asked last, because a first sending takes a token of the weight store. */
  private boolean isDue(EngineOrder order) {
    Long lastMs = sentAtMs.get(order.orderId());
    return lastMs == null
        ? weightStore.tryTake()
        : monotonicClock.millis() - lastMs >= RESEND_AFTER_MS;
  }

  private boolean mayOrder(Upstream engine) {
    return engine.checksFencing() || tenure.leadingForMs() >= OLD_LEADER_WAIT_MS;
  }

  private void send(EngineOrder order, Upstream engine) {
    long token = group.leadership().term();
    // Read last: whatever took time before this point is covered by the lease.
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
          "engine %s refused order %s because it knows a higher fencing token;"
              + " check whether another cluster gives it orders",
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
