package org.ragwortpick.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.config.DataCentreState;
import org.ragwortpick.config.Workspace;
import org.ragwortpick.sync.Upstream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against orders of a previous leader, orders sent before they are recorded, and transitions
 * of data centres that never finish.
 */
public final class EngineOrdersTest {

  private static final List<PlannedLoad> LOADS =
      List.of(new PlannedLoad("e2", OrderAction.LOAD_MODEL, "rare", "1", ""));

  private ControlFixture control;
  private List<String> sent;
  private OrderOutcome outcome;
  private EngineOrders orders;
  private DataCentreTransitions transitions;

  @BeforeMethod
  public void setUp() {
    control = new ControlFixture();
    sent = new ArrayList<>();
    outcome = OrderOutcome.TAKEN;
    orders =
        new EngineOrders(
            control.group(),
            control.machine(),
            control.directory(),
            this::send,
            control.lease(),
            control.tenure(),
            new TokenBucket(1, 1, control.clock()),
            control.clock());
    transitions =
        new DataCentreTransitions(
            control.machine(),
            control.administration(),
            control.placement(),
            orders,
            control.lease(),
            control.clock());
    control.directory().announce(ControlFixture.engine("e2", "norte-b", "tutor"));
    control.tenure().leadingForMs();
  }

  private CompletionStage<OrderOutcome> send(
      HostPort address, EngineOrder order, long token, long timeoutMs) {
    assertTrue(
        control.machine().openOrders().contains(order), "order was sent before it was recorded");
    sent.add(order.orderId() + "/" + token);
    return CompletableFuture.completedFuture(outcome);
  }

  private void pollAfter(long ms) {
    control.clock().advanceMs(ms);
    transitions.poll();
    orders.poll();
  }

  private void pollOrdersAfter(long ms) {
    control.clock().advanceMs(ms);
    orders.poll();
  }

  private static Upstream withFencing(Upstream upstream) {
    return new Upstream(
        upstream.id(),
        upstream.incarnation(),
        upstream.sequence(),
        upstream.address(),
        upstream.dataCentre(),
        upstream.service(),
        upstream.model(),
        upstream.version(),
        upstream.adapters(),
        upstream.state(),
        upstream.slots(),
        upstream.coldLimit(),
        upstream.load(),
        true);
  }

  @Test
  public void newLeaderDelaysOrderToEngineWithoutFencing() {
    orders.requireLoads(LOADS);
    pollOrdersAfter(403);
    assertEquals(sent, List.of());
    pollOrdersAfter(1);
    assertEquals(sent, List.of("1-0/1"));
  }

  @Test
  public void newLeaderSendsImmediatelyToEngineWithFencing() {
    control.directory().announce(withFencing(ControlFixture.engine("e2", "norte-b", "tutor")));
    orders.requireLoads(LOADS);
    pollOrdersAfter(0);
    assertEquals(sent, List.of("1-0/1"));
  }

  @Test
  public void leaderWithoutLeaseSendsNoOrder() {
    orders.requireLoads(LOADS);
    control.group().setConfirmationAgeMs(400);
    pollOrdersAfter(10_000);
    assertEquals(sent, List.of());
  }

  @Test
  public void resendsWithSameIdUntilEffectIsAnnounced() {
    orders.requireLoads(LOADS);
    outcome = OrderOutcome.UNKNOWN;
    pollOrdersAfter(500);
    outcome = OrderOutcome.TAKEN;
    pollOrdersAfter(1_999);
    pollOrdersAfter(1);
    control.group().setLeadership(true, 2, null);
    pollOrdersAfter(2_000);
    pollOrdersAfter(2_000);
    assertEquals(sent, List.of("1-0/1", "1-0/1", "1-0/2"));
    control.directory().announce(ControlFixture.engine("e2", "norte-b", "rare"));
    pollOrdersAfter(10_000);
    assertEquals(sent.size(), 3);
    assertEquals(control.machine().openOrders(), List.of());
  }

  @Test
  public void obeysWeightStoreRateLimit() {
    control.directory().announce(ControlFixture.engine("e3", "norte-b", "tutor"));
    List<PlannedLoad> loads = new ArrayList<>(LOADS);
    loads.add(new PlannedLoad("e3", OrderAction.LOAD_MODEL, "rare", "1", ""));
    orders.requireLoads(loads);
    pollOrdersAfter(500);
    assertEquals(sent.size(), 1);
    pollOrdersAfter(999);
    assertEquals(sent.size(), 1);
    pollOrdersAfter(1);
    assertEquals(sent.size(), 2);
  }

  @Test
  public void takeOutWaitsForLoadsAndReturnWaitsForRamp() {
    control.propose(
        ControlFixture.inventory(
            List.of(
                ControlFixture.place("norte-a", "rare", 1),
                ControlFixture.place("norte-b", "tutor", 1)),
            new Workspace("w1", 1)));
    control.directory().announce(ControlFixture.engine("e1", "norte-a", "rare"));
    control.directory().announce(ControlFixture.engine("e3", "norte-c", "tutor"));
    control.clock().advanceMs(10_000);
    TakeOutRequest request = new TakeOutRequest("r1", "norte-a", false);
    assertEquals(
        ControlFixture.get(control.administration().takeOut(request, 1_000)).get().state(),
        Optional.of(DataCentreState.PREPARING));
    pollAfter(250);
    pollAfter(250);
    assertEquals(sent.size(), 1);
    assertEquals(stateOfNorteA(), DataCentreState.PREPARING);
    String engine = control.machine().openOrders().get(0).upstreamId();
    control.directory().announce(ControlFixture.engine(engine, "norte-c", "rare"));
    pollAfter(250);
    assertEquals(stateOfNorteA(), DataCentreState.OUT);
    assertEquals(control.machine().openOrders(), List.of());

    ControlFixture.get(
        control.administration().returnToService(new ReturnRequest("r2", "norte-a"), 1_000));
    pollAfter(0);
    // Two doublings of 1,000 ms from a cold limit of 2 to 8 slots.
    pollAfter(1_999);
    assertEquals(stateOfNorteA(), DataCentreState.RETURNING);
    pollAfter(1);
    assertEquals(stateOfNorteA(), DataCentreState.IN);
  }

  private DataCentreState stateOfNorteA() {
    return control.machine().current().configuration().stateOf("norte-a");
  }
}
