package org.ragwortpick.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.VirtualTime;
import org.ragwortpick.policy.admission.PathAdmission;
import org.ragwortpick.policy.admission.PathStage;
import org.ragwortpick.policy.admission.RequestPath;
import org.ragwortpick.policy.admission.StageBacklog;
import org.ragwortpick.policy.limit.LimitsFixture;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.rollout.VersionGate;
import org.ragwortpick.routing.BatchProfile;
import org.ragwortpick.routing.RoutingFixture;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.VmState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Decisions of one collector under overload control, each guarding against one failure. */
public final class OverloadedCollectorTest {

  /** One upstream that takes 10 pieces in 200 ms. */
  private static final BatchProfile PROFILE = RoutingFixture.batch(10, 100, 10, 1_000_000);

  private static final long OBJECTIVE_MS = 1_200;
  private static final long DECIDE_WITHIN_MS = 150;

  private VirtualTime time;
  private ScriptedTransport transport;
  private PathAdmission paths;
  private StageCollector collector;
  private List<String> refused;

  @BeforeMethod
  public void setUp() {
    time = new VirtualTime();
    transport = new ScriptedTransport();
    paths = new PathAdmission(() -> true, time.clock());
    refused = new ArrayList<>();
    HostPort address = new HostPort("127.0.0.1", 5);
    VmRecord vm = new VmRecord("vm", 1, 1, "dc", address, address, VmState.READY, 0, false, 0);
    List<Upstream> upstreams =
        List.of(TestUpstreams.ready("u", "svc", new HostPort("127.0.0.1", 9), "dc"));
    collector =
        new StageCollector(
            "svc",
            () -> Optional.of(PROFILE),
            () -> upstreams,
            () -> 1,
            new CollectorRole(
                "vm", () -> List.of(vm), () -> true, any -> true, () -> 0, time.clock()),
            transport,
            new RequestedPauses(time.clock(), new Random(1)),
            LimitsFixture.ofSingleVm(time.clock()),
            VersionGate.OPEN,
            (service, handles) -> {},
            time,
            time.clock(),
            paths);
    submit("running", "w", 1, 10, List.of());
  }

  private void submit(String id, String workspace, int priority, int pieces, List<PathStage> next) {
    submit(id, workspace, priority, pieces, next, List.of());
  }

  private void submit(
      String id,
      String workspace,
      int priority,
      int pieces,
      List<PathStage> next,
      List<StageInput> inputs) {
    RequestPath path = new RequestPath(workspace, DECIDE_WITHIN_MS, OBJECTIVE_MS, 100, next);
    StageWork work =
        new StageWork(
            "svc",
            id,
            0,
            pieces,
            "",
            inputs,
            1,
            9_000,
            OBJECTIVE_MS,
            priority,
            "",
            false,
            Optional.of(path));
    collector.submit(
        work,
        0,
        end -> {
          if (end instanceof SubmissionEnd.Failed failed) {
            assertEquals(failed.cause(), SubmissionEnd.Cause.OVERLOADED);
            assertTrue(failed.waitMs() > 0);
            refused.add(id);
          }
        });
  }

  private static PathStage later(int pieces) {
    return new PathStage(1, "later", pieces, 200, List.of(0));
  }

  private void knowLater(int queuedPieces) {
    paths
        .backlogs()
        .put(
            new StageBacklog(
                "later", time.clock().millis(), 0.05, 200, Map.of(1, queuedPieces), Map.of()));
  }

  /** Requests that fail behind the queue of their second stage waste the first. */
  @Test
  public void queueOfLaterStageRefusesNewRequest() {
    knowLater(60);
    submit("a", "w", 1, 1, List.of(later(1)));
    assertEquals(refused, List.of("a"));
  }

  /** A burst is admitted as a whole if only work counts that has reached the later stage. */
  @Test
  public void announcedWorkCountsAtLaterStage() {
    knowLater(0);
    submit("a", "w", 1, 1, List.of(later(50)));
    submit("b", "w", 1, 1, List.of(later(1)));
    assertEquals(refused, List.of("b"));
  }

  /** Replies stop: a queue that was long seconds ago must not refuse requests any longer. */
  @Test
  public void backlogIsNotUsedWhenRepliesStop() {
    knowLater(60);
    time.schedule(2_000, () -> {});
    time.runUntil(time.clock().millis() + 2_000);
    submit("a", "w", 1, 1, List.of(later(1)));
    assertEquals(refused, List.of());
  }

  /** A collector ends: what it had admitted counts nowhere else, and its successor starts empty. */
  @Test
  public void announcedWorkExpiresIfItNeverArrives() {
    knowLater(0);
    submit("a", "w", 1, 1, List.of(later(50)));
    time.runUntil(time.clock().millis() + 4_000);
    knowLater(0);
    submit("b", "w", 2, 1, List.of(later(1)));
    assertEquals(refused, List.of());
  }

  /** A workspace floods: the others of its priority are admitted and served before its queue. */
  @Test
  public void floodingWorkspaceIsRefusedFirst() {
    for (int i = 0; i < 30; i++) {
      submit("flood" + i, "large", 1, 4, List.of());
    }
    int flooded = refused.size();
    assertTrue(flooded > 5, refused.toString());
    submit("small", "small", 1, 4, List.of());
    assertEquals(refused.size(), flooded);
    transport.produce(transport.take());
    assertTrue(
        transport.take().pieces().stream().anyMatch(piece -> piece.requestId().equals("small")));
  }

  /** Urgent work arrives: new, less urgent work is refused at once and not at its deadline. */
  @Test
  public void urgentWorkDisplacesNewWork() {
    for (int i = 0; i < 4; i++) {
      submit("old" + i, "w", 2, 10, List.of());
    }
    refused.clear();
    time.runUntil(time.clock().millis() + 60);
    for (int i = 0; i < 4; i++) {
      submit("urgent" + i, "w", 0, 10, List.of());
    }
    time.runUntil(time.clock().millis() + 60);
    submit("last", "w", 0, 1, List.of());
    assertTrue(refused.stream().anyMatch(id -> id.startsWith("old")), refused.toString());
    assertTrue(refused.stream().noneMatch(id -> id.startsWith("urgent")), refused.toString());
  }

  /** Work whose request has run a stage goes before new work of its priority. */
  @Test
  public void workWithInputsGoesFirst() {
    submit("new", "w", 1, 5, List.of());
    submit("paid", "w", 1, 5, List.of(), List.of(new StageInput("before", "h", true)));
    transport.produce(transport.take());
    assertEquals(transport.take().pieces().get(0).requestId(), "paid");
  }
}
