package org.ragwortpick.batch;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.VirtualTime;
import org.ragwortpick.policy.admission.PathAdmission;
import org.ragwortpick.policy.limit.LimitsFixture;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.rollout.VersionGate;
import org.ragwortpick.routing.RoutingFixture;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.VmState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a collector without a path to its upstreams that holds up the stages of all VMs.
 */
public final class PartitionedCollectorTest {

  private static final long TIME_LEFT_MS = 60_000;
  private static final long REDISPATCH_MS = 100;

  private VirtualTime time;
  private ScriptedTransport transport;
  private List<SubmissionEnd> ends;
  private StageCollector collector;
  private boolean reachesUpstreams;

  @BeforeMethod
  public void setUp() {
    time = new VirtualTime();
    transport = new ScriptedTransport();
    ends = new ArrayList<>();
    reachesUpstreams = true;
    HostPort address = new HostPort("127.0.0.1", 5);
    VmRecord vm = new VmRecord("vm", 1, 1, "dc", address, address, VmState.READY, 0, false, 0);
    collector =
        new StageCollector(
            "svc",
            () -> Optional.of(RoutingFixture.batch(4, 100, 10, 1_000)),
            () -> List.of(TestUpstreams.ready("u1", "svc", new HostPort("127.0.0.1", 9), "dc-1")),
            () -> 1,
            new CollectorRole(
                "vm",
                () -> List.of(vm),
                () -> true,
                service -> reachesUpstreams,
                () -> 0,
                time.clock()),
            transport,
            new RequestedPauses(time.clock(), new Random(1)),
            LimitsFixture.ofSingleVm(time.clock()),
            VersionGate.OPEN,
            (service, handles) -> {},
            time,
            time.clock(),
            new PathAdmission(() -> false, time.clock()));
  }

  private void submit(String id, int pieces) {
    StageWork work =
        new StageWork(
            "svc", id, 0, pieces, "key", List.of(), 10, TIME_LEFT_MS, TIME_LEFT_MS, 0, "");
    collector.submit(work, 0, ends::add);
  }

  @Test
  public void workThatWasNotSentGoesToTheNextCollector() {
    submit("sent", 4);
    submit("queued", 1);
    reachesUpstreams = false;
    submit("new", 1);
    time.runUntil(time.clock().millis() + REDISPATCH_MS);
    assertEquals(ends.size(), 2);
    for (SubmissionEnd end : ends) {
      assertEquals(((SubmissionEnd.Failed) end).cause(), SubmissionEnd.Cause.UNAVAILABLE);
    }
    assertEquals(transport.calls().size(), 1);
  }
}
