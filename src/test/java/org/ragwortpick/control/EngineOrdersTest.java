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

/** Guards against orders of an old leader, unrecorded orders and moves that never end. */
public final class EngineOrdersTest {

  private static final List<PlannedLoad> LOAD =
      List.of(new PlannedLoad("e2", OrderAction.LOAD_MODEL, "rare", "1", ""));

  private ControlFixture control;
  private List<String> sent;
  private OrderOutcome outcome;
  private EngineOrders orders;
  private DataCentreMoves moves;

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
    moves =
        new DataCentreMoves(
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
    assertTrue(control.machine().orders().contains(order), "sent before it was recorded");
    sent.add(order.orderId() + "/" + token);
    return CompletableFuture.completedFuture(outcome);
  }

  private void pollAfter(long ms) {
    control.clock().advanceMs(ms);
    moves.poll();
    orders.poll();
  }

  private void ordersAfter(long ms) {
    control.clock().advanceMs(ms);
    orders.poll();
  }

  private static Upstream checking(Upstream of) {
    return new Upstream(
        of.id(),
        of.incarnation(),
        of.sequence(),
        of.address(),
        of.dataCentre(),
        of.service(),
        of.model(),
        of.version(),
        of.adapters(),
        of.state(),
        of.slots(),
        of.coldLimit(),
        of.load(),
        true);
  }

  @Test
  public void newLeaderWaitsUnlessTheEngineChecksTokens() {
    orders.require(LOAD);
    ordersAfter(403);
    assertEquals(sent, List.of());
    ordersAfter(1);
    assertEquals(sent, List.of("1-0/1"));
  }

  @Test
  public void engineThatChecksTokensIsOrderedAtOnce() {
    control.directory().announce(checking(ControlFixture.engine("e2", "norte-b", "tutor")));
    orders.require(LOAD);
    ordersAfter(0);
    assertEquals(sent, List.of("1-0/1"));
  }

  @Test
  public void leaderWithoutItsLeaseSendsNothing() {
    orders.require(LOAD);
    control.group().setConfirmationAgeMs(400);
    ordersAfter(10_000);
    assertEquals(sent, List.of());
  }

  @Test
  public void sendsAgainUnderTheSameIdUntilTheEffectIsAnnounced() {
    orders.require(LOAD);
    outcome = OrderOutcome.UNKNOWN;
    ordersAfter(500);
    outcome = OrderOutcome.TAKEN;
    ordersAfter(1_999);
    ordersAfter(1);
    control.group().setLeadership(true, 2, null);
    ordersAfter(2_000);
    ordersAfter(2_000);
    assertEquals(sent, List.of("1-0/1", "1-0/1", "1-0/2"));
    control.directory().announce(ControlFixture.engine("e2", "norte-b", "rare"));
    ordersAfter(10_000);
    assertEquals(sent.size(), 3);
    assertEquals(control.machine().orders(), List.of());
  }

  @Test
  public void followsTheRateOfTheWeightStore() {
    control.directory().announce(ControlFixture.engine("e3", "norte-b", "tutor"));
    List<PlannedLoad> loads = new ArrayList<>(LOAD);
    loads.add(new PlannedLoad("e3", OrderAction.LOAD_MODEL, "rare", "1", ""));
    orders.require(loads);
    ordersAfter(500);
    assertEquals(sent.size(), 1);
    ordersAfter(999);
    assertEquals(sent.size(), 1);
    ordersAfter(1);
    assertEquals(sent.size(), 2);
  }

  @Test
  public void dataCentreLeavesAfterTheLoadsAndReturnsAfterTheRamp() {
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
    assertEquals(stateOfA(), DataCentreState.PREPARING);
    String engine = control.machine().orders().get(0).upstreamId();
    control.directory().announce(ControlFixture.engine(engine, "norte-c", "rare"));
    pollAfter(250);
    assertEquals(stateOfA(), DataCentreState.OUT);
    assertEquals(control.machine().orders(), List.of());

    ControlFixture.get(
        control.administration().returnToService(new ReturnRequest("r2", "norte-a"), 1_000));
    pollAfter(0);
    // Two doublings of 1,000 ms from a cold limit of 2 to 8 slots.
    pollAfter(1_999);
    assertEquals(stateOfA(), DataCentreState.RETURNING);
    pollAfter(1);
    assertEquals(stateOfA(), DataCentreState.IN);
  }

  private DataCentreState stateOfA() {
    return control.machine().current().configuration().stateOf("norte-a");
  }
}
