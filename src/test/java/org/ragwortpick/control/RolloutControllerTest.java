package org.ragwortpick.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.ragwortpick.config.Rollout;
import org.ragwortpick.rollout.RouteCounts;
import org.ragwortpick.rollout.VersionCounts;
import org.ragwortpick.rollout.VersionReport;
import org.ragwortpick.routing.RoutingConfiguration;
import org.ragwortpick.routing.RoutingFixture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against time and counts that are lost, or counted twice, when VMs fail. */
public final class RolloutControllerTest {

  private static final long DURATION_MS = 60_000;
  private static final long POLL_MS = 250;
  private static final String SERVICE = "s1";

  private final List<VersionReport> reports = new ArrayList<>();
  private ControlFixture control;
  private RolloutController leader;

  @BeforeMethod
  public void startRollout() {
    control = new ControlFixture();
    reports.clear();
    RoutingConfiguration routing =
        RoutingFixture.configuration(1, RoutingFixture.route("r", "a.example", "/x/", SERVICE));
    ControlFixture.get(control.administration().replaceRouting(routing, ControlFixture.TIMEOUT_MS));
    ControlFixture.get(
        control
            .administration()
            .startRollout(
                new StartRolloutRequest(SERVICE, "2", DURATION_MS, 1), ControlFixture.TIMEOUT_MS));
    leader = controller();
  }

  private RolloutController controller() {
    return new RolloutController(
        control.machine(),
        control.administration(),
        control.lease(),
        ControlFixture.BOUNDS,
        () -> reports,
        () -> Set.of("vm1"),
        (service, version) -> true,
        control.clock());
  }

  private Rollout rollout() {
    return control.machine().current().configuration().rollouts().get(SERVICE);
  }

  private void poll(RolloutController controller, long durationMs) {
    for (long atMs = 0; atMs < durationMs; atMs += POLL_MS) {
      control.clock().advanceMs(POLL_MS);
      controller.poll();
    }
  }

  /** Report of a VM that got a number of responses from each version. */
  private VersionReport report(long sequence, long fromOld, long fromNew, long failures) {
    VersionCounts old = new VersionCounts(fromOld, 0, new long[] {0, 0, fromOld});
    VersionCounts tried =
        new VersionCounts(fromNew, failures, new long[] {0, 0, fromNew - failures});
    return new VersionReport(
        "vm1",
        1,
        sequence,
        SERVICE,
        rollout().order(),
        rollout().state() == Rollout.State.COMPLETING,
        0,
        fromOld,
        fromNew,
        List.of(new RouteCounts("r", old, tried)));
  }

  private void replaceReport(VersionReport report) {
    reports.clear();
    reports.add(report);
  }

  @Test
  public void timeGoesOnWithNextLeader() {
    RolloutController next = controller();
    poll(leader, 20_000);
    next.poll();
    poll(next, 20_000);
    long elapsedMs = rollout().elapsedMs();
    assertTrue(elapsedMs > 37_000 && elapsedMs <= 40_250, "" + elapsedMs);
  }

  /** A process that has just started knows no more than the replicated progress. */
  @Test
  public void timeGoesOnAfterRestartOfAllVms() {
    poll(leader, 20_000);
    control.machine().restore(control.machine().snapshot());
    poll(controller(), 5_000);
    long elapsedMs = rollout().elapsedMs();
    assertTrue(elapsedMs > 21_000 && elapsedMs <= 25_250, "" + elapsedMs);
  }

  @Test
  public void progressIsReplicatedAboutOnceASecond() {
    long before = control.machine().current().revision();
    poll(leader, 30_000);
    assertTrue(control.machine().current().revision() - before <= 30);
  }

  /** The counts are cumulative, so the new leader gets those that the old one had. */
  @Test
  public void nextLeaderDecidesByCountsOfWholeRollout() {
    replaceReport(report(1, 1_000, 40, 0));
    poll(leader, 1_000);
    replaceReport(report(2, 1_200, 60, 20));
    RolloutController next = controller();
    poll(next, POLL_MS);
    assertEquals(rollout().state(), Rollout.State.ROLLED_BACK);
  }

  /** A message that is received twice, or an old one that is overtaken, adds no responses. */
  @Test
  public void repeatedAndOvertakenReportsCountOnce() {
    replaceReport(report(2, 1_000, 40, 1));
    poll(leader, 10_000);
    replaceReport(report(1, 500, 20, 1));
    poll(leader, 10_000);
    replaceReport(report(2, 1_000, 40, 1));
    poll(leader, 10_000);
    assertEquals(rollout().state(), Rollout.State.RUNNING);
  }

  @Test
  public void deposedLeaderDecidesNothing() {
    replaceReport(report(1, 1_000, 40, 40));
    control.group().setLeadership(false, 2, "vm2");
    poll(leader, 5_000);
    assertEquals(rollout().state(), Rollout.State.RUNNING);
  }

  @Test
  public void completionWaitsForVmThatHasNotMoved() {
    VersionReport behind = report(1, 10_000, 500, 0);
    replaceReport(behind);
    poll(leader, DURATION_MS + 5_000);
    assertEquals(rollout().state(), Rollout.State.COMPLETING);
    replaceReport(report(2, 10_000, 600, 0));
    poll(leader, 2 * POLL_MS);
    assertEquals(rollout().state(), Rollout.State.COMPLETED);
  }
}
