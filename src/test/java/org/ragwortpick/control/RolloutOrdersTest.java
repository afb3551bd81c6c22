package org.ragwortpick.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.ragwortpick.config.Rollout;
import org.ragwortpick.routing.RoutingConfiguration;
import org.ragwortpick.routing.RoutingFixture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against orders that start a second rollout when they are repeated or arrive late, against
 * refused orders that run later, and against rollouts that are lost.
 */
public final class RolloutOrdersTest {

  private static final long DURATION_MS = 60_000;
  private static final String SERVICE = "s1";

  private ControlFixture control;

  @BeforeMethod
  public void configureService() {
    control = new ControlFixture();
    RoutingConfiguration routing =
        RoutingFixture.configuration(1, RoutingFixture.route("r", "a.example", "/x/", SERVICE));
    assertTrue(
        ControlFixture.get(
                control.administration().replaceRouting(routing, ControlFixture.TIMEOUT_MS))
            .isRight());
  }

  private Either<AdministrationError, AcceptedChange> order(String to, long baseRevision) {
    return order(new StartRolloutRequest(SERVICE, to, DURATION_MS, baseRevision));
  }

  private Either<AdministrationError, AcceptedChange> order(StartRolloutRequest request) {
    return ControlFixture.get(
        control.administration().startRollout(request, ControlFixture.TIMEOUT_MS));
  }

  private long revision() {
    return control.machine().current().revision();
  }

  private Rollout rollout() {
    return control.machine().current().configuration().rollouts().get(SERVICE);
  }

  private void end(Rollout.State state) {
    assertTrue(
        ControlFixture.get(control.administration().advanceRollout(SERVICE, rollout(), state))
            .isRight());
  }

  @Test
  public void repeatedOrderIsAcknowledgedAndChangesNothing() {
    assertTrue(order("2", revision()).isRight());
    Rollout started = rollout();
    assertTrue(order("2", 0).isRight());
    assertEquals(rollout(), started);
    end(Rollout.State.ROLLED_BACK);
    Rollout ended = rollout();
    assertTrue(order("2", revision()).isRight());
    assertEquals(rollout(), ended);
  }

  @Test
  public void lateCopyOfEarlierOrderStartsNoRollout() {
    order("2", revision());
    end(Rollout.State.COMPLETED);
    order("3", revision());
    end(Rollout.State.COMPLETED);
    Rollout ended = rollout();
    assertTrue(order("2", revision()).isRight());
    assertEquals(rollout(), ended);
  }

  @Test
  public void otherOrderConflictsWhileOneRunsAndItsLateCopyDoesNotRun() {
    order("2", revision());
    long whileRunning = revision();
    assertEquals(order("3", whileRunning).getLeft(), new AdministrationError.RolloutRunning("2"));
    end(Rollout.State.COMPLETING);
    assertTrue(order("3", whileRunning).isLeft());
    end(Rollout.State.COMPLETED);
    assertEquals(order("3", whileRunning).getLeft(), new AdministrationError.Conflict(revision()));
    assertTrue(order("3", revision()).isRight());
    assertEquals(rollout().to(), "3");
    assertEquals(rollout().established(), "2");
  }

  @Test
  public void invalidOrdersAreRefused() {
    for (StartRolloutRequest invalid :
        List.of(
            new StartRolloutRequest("absent", "2", DURATION_MS, 0),
            new StartRolloutRequest(SERVICE, " ", DURATION_MS, 0),
            new StartRolloutRequest(SERVICE, "2", 0, 0),
            new StartRolloutRequest(SERVICE, "2", Long.MAX_VALUE, 0))) {
      assertTrue(order(invalid).getLeft() instanceof AdministrationError.Invalid, "" + invalid);
    }
    LeaderAdministration disabled =
        new LeaderAdministration(
            control.group(),
            control.machine(),
            control.lease(),
            control.placement(),
            new VoterRequirement(0),
            Optional.empty());
    StartRolloutRequest valid = new StartRolloutRequest(SERVICE, "2", DURATION_MS, 0);
    assertTrue(
        ControlFixture.get(disabled.startRollout(valid, ControlFixture.TIMEOUT_MS)).getLeft()
            instanceof AdministrationError.Invalid);
    assertTrue(control.machine().current().configuration().rollouts().isEmpty());
  }

  @Test
  public void rolloutSurvivesRestartAndOtherChanges() {
    order("2", revision());
    ControlFixture.get(
        control
            .administration()
            .advanceRollout(SERVICE, rollout().at(30_000, 0.06), rollout().state()));
    Rollout before = rollout();
    control.machine().restore(control.machine().snapshot());
    ControlFixture.get(
        control
            .administration()
            .takeOut(new TakeOutRequest("r", "dc", true), ControlFixture.TIMEOUT_MS));
    RoutingConfiguration routing =
        RoutingFixture.configuration(2, RoutingFixture.route("r", "a.example", "/y/", SERVICE));
    ControlFixture.get(control.administration().replaceRouting(routing, ControlFixture.TIMEOUT_MS));
    assertEquals(rollout(), before);
    assertEquals(rollout().elapsedMs(), 30_000);
    assertTrue(order("2", 0).isRight());
    assertEquals(rollout(), before);
  }

  /** A progress of a leader that was replaced must not revive a rollout that has ended. */
  @Test
  public void progressOfEndedRolloutIsRefused() {
    order("2", revision());
    Rollout running = rollout();
    end(Rollout.State.ROLLED_BACK);
    assertTrue(
        ControlFixture.get(
                control
                    .administration()
                    .advanceRollout(SERVICE, running.at(1_000, 0.06), Rollout.State.COMPLETED))
            .isLeft());
    assertEquals(rollout().state(), Rollout.State.ROLLED_BACK);
  }

  @Test
  public void rejectedVersionStaysExcludedDuringNextRollout() {
    order("2", revision());
    end(Rollout.State.ROLLED_BACK);
    order("3", revision());
    assertTrue(rollout().allows("1") && rollout().allows("3"));
    assertTrue(!rollout().allows("2"));
  }
}
