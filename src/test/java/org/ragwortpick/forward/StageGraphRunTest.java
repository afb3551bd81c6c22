package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.undertow.util.HeaderMap;
import io.undertow.util.Methods;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.ragwortpick.batch.StageInput;
import org.ragwortpick.batch.StageRunner;
import org.ragwortpick.batch.StageTicket;
import org.ragwortpick.batch.StageWork;
import org.ragwortpick.batch.SubmissionEnd;
import org.ragwortpick.policy.admission.PathStage;
import org.ragwortpick.policy.admission.RequestPath;
import org.ragwortpick.routing.Route;
import org.ragwortpick.routing.RouteStage;
import org.ragwortpick.routing.RoutingFixture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against stages that get the wrong inputs, and results that are not released. */
public final class StageGraphRunTest {

  private static final List<RouteStage> STAGES =
      List.of(
          new RouteStage("a", List.of(), 800_000),
          new RouteStage("a", List.of(), 8_000),
          new RouteStage("b", List.of(1), 60_000),
          new RouteStage("c", List.of(2), 6_000));

  private static final ResultLocator RESULT_LOCATOR =
      new ResultLocator(service -> List.of(UpstreamPerDataCentre.upstream(service)));

  private static final long WAIT_MS = 7;

  private final RecordingRunner runner = new RecordingRunner();
  private final List<SubmissionEnd> ends = new ArrayList<>();

  @BeforeMethod
  public void setUp() {
    runner.submitted.clear();
    ends.clear();
  }

  private StageGraphRun start(Integer... counts) {
    return start(false, counts);
  }

  private StageGraphRun start(boolean overloadControl, Integer... counts) {
    Route route = RoutingFixture.streaming(1, STAGES);
    CallerRequest request =
        new CallerRequest(
            "id",
            Methods.POST,
            "/",
            new HeaderMap(),
            new byte[0],
            route,
            Optional.empty(),
            1,
            0,
            5_000);
    StageGraph graph =
        StageGraph.of(
            route,
            List.of(counts),
            service -> Optional.of(RoutingFixture.batch(10, 100, 10, 10_000)));
    StageGraphRun run =
        new StageGraphRun(
            request,
            "key",
            graph,
            false,
            50,
            "dc-9",
            RESULT_LOCATOR,
            runner,
            overloadControl,
            () -> 0,
            ends::add);
    run.start();
    return run;
  }

  private void produce(int index, String... handles) {
    runner.submitted.get(index).whenEnded.accept(new SubmissionEnd.Produced(List.of(handles)));
  }

  @Test
  public void stageStartsWithResultsOfPrecedingStages() {
    start(2, 1, 2, 1);
    assertEquals(runner.stages(), List.of(0, 1));
    assertEquals(runner.submitted.get(1).work.key(), "key");
    produce(1, "s1");
    assertEquals(runner.stages(), List.of(0, 1, 2));
    assertEquals(runner.submitted.get(2).work.inputs(), List.of(new StageInput("a", "s1", true)));
    assertEquals(runner.submitted.get(2).work.key(), "");
    produce(2, "s2-0", "s2-1");
    produce(3, "s3");
    assertEquals(ends, List.of());
    produce(0, "s0-0", "s0-1");
    assertEquals(ends, List.of(new SubmissionEnd.Produced(List.of("s0-0", "s0-1", "s3"))));
  }

  /** Without the later stages, a collector admits requests that fail after their first stage. */
  @Test
  public void pathIsStatedUnderOverloadControlOnly() {
    start(2, 1, 2, 1);
    assertEquals(runner.submitted.get(0).work.path(), Optional.empty());
    start(true, 2, 1, 2, 1);
    RequestPath path = runner.submitted.get(3).work.path().orElseThrow();
    assertEquals(path.following().stream().map(PathStage::stage).toList(), List.of(2, 3));
    assertEquals(path.responseMs(), 50);
    start(true, 2, 1, 0, 1);
    assertEquals(runner.submitted.get(6).work.path().orElseThrow().following(), List.of());
  }

  @Test
  public void stagesPreferDataCentreOfLargeInputs() {
    StageGraphRun run = start(1, 1, 1, 2);
    assertEquals(runner.submitted.get(0).work.dataCentre(), "dc-9");
    assertEquals(runner.submitted.get(1).work.dataCentre(), "");
    produce(0, "10.0.0.1:80/x");
    produce(1, "10.0.0.1:80/y");
    assertEquals(
        runner.submitted.get(2).work.dataCentre(), "", "an input of 8 kB causes no preference");
    produce(2, "10.0.0.2:80/z");
    assertEquals(runner.submitted.get(3).work.dataCentre(), "dc-b");
    produce(3, "10.0.0.3:80/v", "10.0.0.3:80/w");
    // One result of 800 kB in the first data centre outweighs two of 6 kB in the third.
    assertEquals(run.dataCentreOfResults(), "dc-a");
  }

  @Test
  public void stageWithoutPiecesIsSkipped() {
    start(0, 1, 1, 1);
    assertEquals(runner.stages(), List.of(1));
    produce(0, "s1");
    produce(1, "s2");
    produce(2, "s3");
    assertEquals(ends, List.of(new SubmissionEnd.Produced(List.of("s3"))));
  }

  @Test
  public void targetOfStageLeavesTimeForFollowingStages() {
    start(1, 1, 2, 1);
    assertEquals(runner.submitted.get(0).work.targetRemainingMs(), 1_950);
    assertEquals(runner.submitted.get(1).work.targetRemainingMs(), 1_950 - 120 - 110 - 2 * WAIT_MS);
  }

  @Test
  public void failureAbandonsOtherStages() {
    start(1, 1, 1, 1);
    runner.submitted.get(0).whenEnded.accept(new SubmissionEnd.Failed(SubmissionEnd.Cause.LATE, 0));
    assertEquals(ends, List.of(new SubmissionEnd.Failed(SubmissionEnd.Cause.LATE, 0)));
    assertTrue(runner.submitted.get(1).abandoned);
    produce(1, "s1");
    assertEquals(runner.submitted.size(), 2);
  }

  private static final class RecordingRunner implements StageRunner {
    private final List<Submitted> submitted = new ArrayList<>();

    @Override
    public StageTicket submit(StageWork work, Consumer<SubmissionEnd> whenEnded) {
      Submitted added = new Submitted(work, whenEnded);
      submitted.add(added);
      return () -> added.abandoned = true;
    }

    @Override
    public long expectedWaitMs(String service, int priority) {
      return WAIT_MS;
    }

    private List<Integer> stages() {
      return submitted.stream().map(next -> next.work.stage()).toList();
    }
  }

  private static final class Submitted {
    private final StageWork work;
    private final Consumer<SubmissionEnd> whenEnded;
    private boolean abandoned;

    private Submitted(StageWork work, Consumer<SubmissionEnd> whenEnded) {
      this.work = work;
      this.whenEnded = whenEnded;
    }
  }
}
