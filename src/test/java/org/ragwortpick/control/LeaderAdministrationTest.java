package org.ragwortpick.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.ragwortpick.config.DataCentreState;
import org.ragwortpick.config.Inventory;
import org.ragwortpick.config.Rules;
import org.ragwortpick.config.Workspace;
import org.testng.annotations.Test;

/**
 * Guards against accepted changes that are reverted, data centre states that a proposal resets, and
 * lost answers.
 */
public final class LeaderAdministrationTest {

  private static final Inventory INVENTORY =
      ControlFixture.inventory(
          List.of(ControlFixture.place("norte-a", "tutor", 1)), new Workspace("w1", 1));

  private final ControlFixture fixture = new ControlFixture();

  private Either<AdministrationError, AcceptedChange> propose(ProposeRequest request) {
    return ControlFixture.get(fixture.administration().propose(request, ControlFixture.TIMEOUT_MS));
  }

  private Either<AdministrationError, AcceptedChange> takeOut(
      ControlFixture control, String id, String dataCentre, boolean now) {
    return ControlFixture.get(
        control
            .administration()
            .takeOut(new TakeOutRequest(id, dataCentre, now), ControlFixture.TIMEOUT_MS));
  }

  private static Rules rules(int minimumSharePercent, String... order) {
    return new Rules(List.of(), List.of(order), minimumSharePercent, Map.of());
  }

  @Test
  public void staleProposalConflictsAndResendGetsFirstAnswer() {
    ProposeRequest first =
        new ProposeRequest("r1", 0, Optional.of(INVENTORY), Optional.of(rules(10, "w1")));
    ProposeRequest second =
        new ProposeRequest("r2", 0, Optional.of(INVENTORY), Optional.of(rules(20)));
    assertEquals(propose(first).get().revision(), 1);
    assertEquals(propose(second).getLeft(), new AdministrationError.Conflict(1));
    ProposeRequest third =
        new ProposeRequest("r3", 1, Optional.empty(), Optional.of(rules(30, "w1")));
    assertEquals(propose(third).get().revision(), 2);

    fixture.machine().restore(fixture.machine().snapshot());

    assertEquals(propose(first).get().revision(), 1);
    assertEquals(propose(second).getLeft(), new AdministrationError.Conflict(1));
    assertEquals(fixture.machine().current().configuration().rules().minimumSharePercent(), 30);
    assertEquals(fixture.machine().current().configuration().inventory(), INVENTORY);
    ProposeRequest reused = new ProposeRequest("r3", 2, Optional.empty(), Optional.of(rules(0)));
    assertEquals(propose(reused).getLeft(), new AdministrationError.RequestIdReused());
  }

  @Test
  public void invalidProposalListsAllFindingsAndChangesNothing() {
    ControlFixture control = new ControlFixture();
    control.propose(INVENTORY);
    ProposeRequest request =
        new ProposeRequest("bad", 1, Optional.empty(), Optional.of(rules(101, "absent")));
    AdministrationError error =
        ControlFixture.get(control.administration().propose(request, ControlFixture.TIMEOUT_MS))
            .getLeft();
    assertEquals(((AdministrationError.Invalid) error).findings().size(), 2);
    assertEquals(control.machine().current().revision(), 1);
  }

  @Test
  public void immediateTakeOutListsMissingReplicasAndProposalKeepsState() {
    ControlFixture control = new ControlFixture();
    control.propose(INVENTORY);
    control.upstreams().add(ControlFixture.engine("e1", "norte-a", "tutor"));
    AcceptedChange out = takeOut(control, "out", "norte-a", true).get();
    assertEquals(out.state(), Optional.of(DataCentreState.OUT));
    assertEquals(
        out.unplaced(),
        List.of("service tutor-lm model tutor version 1: 1 of 1 replicas do not run there yet"));

    control.propose(ControlFixture.inventory(List.of(), new Workspace("w2", 1)));

    assertEquals(
        control.machine().current().configuration().stateOf("norte-a"), DataCentreState.OUT);
    ReturnRequest back = new ReturnRequest("back", "norte-a");
    assertEquals(
        ControlFixture.get(
                control.administration().returnToService(back, ControlFixture.TIMEOUT_MS))
            .get()
            .state(),
        Optional.of(DataCentreState.RETURNING));
    assertEquals(takeOut(control, "out", "norte-a", true).get(), out);
    assertEquals(
        control.machine().current().configuration().stateOf("norte-a"), DataCentreState.RETURNING);
  }

  @Test
  public void takeOutWaitsForCompleteDirectoryAndNeedsAnotherDataCentre() {
    ControlFixture control = new ControlFixture();
    control.propose(INVENTORY);
    control.upstreams().add(ControlFixture.engine("e2", "norte-b", "tutor"));
    assertEquals(
        takeOut(control, "early", "norte-a", false).get().state(),
        Optional.of(DataCentreState.PREPARING));
    control.clock().advanceMs(10_000);
    assertEquals(
        takeOut(control, "later", "norte-c", false).get().state(),
        Optional.of(DataCentreState.OUT));
    assertTrue(takeOut(control, "last", "norte-b", false).isLeft());
    assertTrue(takeOut(control, "typo", "norte-x", true).isLeft());
  }

  @Test
  public void readOnFollowerNamesLeader() {
    ControlFixture control = new ControlFixture();
    control.group().setLeadership(false, 2, "vm2");
    assertEquals(
        ControlFixture.get(control.administration().read(ControlFixture.TIMEOUT_MS)).getLeft(),
        new AdministrationError.NotLeader(Optional.of("vm2")));
  }

  /** An order that changed nothing counts as well, since its operator was told that it holds. */
  @Test
  public void orderBasedOnRevisionBeforeLaterOrderIsRefused() {
    ControlFixture control = new ControlFixture();
    control.propose(INVENTORY);
    long beforeTakeOut = control.machine().current().revision();
    takeOut(control, "first", "norte-a", true);
    long beforeRepetition = control.machine().current().revision();
    assertTrue(returnBasedOn(control, "early", beforeTakeOut).isLeft());
    takeOut(control, "again", "norte-a", true);
    assertTrue(returnBasedOn(control, "late", beforeRepetition).isLeft());
    takeOut(control, "elsewhere", "norte-b", true);
    control.machine().restore(control.machine().snapshot());
    assertTrue(returnBasedOn(control, "later", beforeRepetition).isLeft());
    assertEquals(
        control.machine().current().configuration().stateOf("norte-a"), DataCentreState.OUT);
    long current = control.machine().current().revision();
    assertTrue(returnBasedOn(control, "current", current).isRight());
    assertTrue(
        ControlFixture.get(
                control
                    .administration()
                    .takeOut(
                        new TakeOutRequest("old", "norte-a", true, OptionalLong.of(current)),
                        ControlFixture.TIMEOUT_MS))
            .isLeft());
    assertEquals(
        control.machine().current().configuration().stateOf("norte-a"), DataCentreState.RETURNING);
  }

  /** The resend is based on a revision before the request itself, or on a later one. */
  @Test
  public void resentOrderGetsItsFirstAnswerWhateverItIsBasedOn() {
    ControlFixture control = new ControlFixture();
    control.propose(INVENTORY);
    takeOut(control, "out", "norte-a", true);
    long before = control.machine().current().revision();
    AcceptedChange first = returnBasedOn(control, "back", before).get();
    takeOut(control, "out-again", "norte-a", true);
    assertEquals(returnBasedOn(control, "back", before).get(), first);
    long after = control.machine().current().revision();
    assertEquals(returnBasedOn(control, "back", after).get(), first);
    assertEquals(
        control.machine().current().configuration().stateOf("norte-a"), DataCentreState.OUT);
  }

  private static Either<AdministrationError, AcceptedChange> returnBasedOn(
      ControlFixture control, String id, long revision) {
    return ControlFixture.get(
        control
            .administration()
            .returnToService(
                new ReturnRequest(id, "norte-a", OptionalLong.of(revision)),
                ControlFixture.TIMEOUT_MS));
  }
}
