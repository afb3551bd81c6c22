package org.ragwortpick.entry.pipeline;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.TextNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.ragwortpick.config.Pipeline;
import org.ragwortpick.entry.EntryFakes;
import org.ragwortpick.entry.FaultyUpstreams;
import org.ragwortpick.entry.RequestContext;
import org.ragwortpick.entry.RequestResult;
import org.ragwortpick.entry.VirtualEntry;
import org.ragwortpick.error.RequestError;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against responses that are incomplete, spliced, duplicated or of another request when
 * upstreams respond late, out of order, twice, or incompletely.
 */
public final class PipelineDifferentialTest {

  private static final int REQUESTS = 300;

  @DataProvider
  Object[][] seeds() {
    Object[][] seeds = new Object[20][];
    for (int i = 0; i < seeds.length; i++) {
      seeds[i] = new Object[] {1_000L + i};
    }
    return seeds;
  }

  @Test(dataProvider = "seeds")
  public void everyRequestEndsWithItsCompleteResponseOrAnError(long seed) {
    VirtualEntry entry = new VirtualEntry();
    Random random = new Random(seed);
    FaultyUpstreams upstreams = new FaultyUpstreams(random, entry.time(), entry.fakes(), 100);
    entry.fakes().hedgeAfterMs(30);
    entry.fakes().limitSlots(20);
    List<Receiver> receivers = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      Receiver receiver = new Receiver(seed, "q" + i);
      receivers.add(receiver);
      entry.time().schedule(random.nextInt(3_000), () -> start(entry, upstreams, receiver, random));
    }
    scheduleConfigurationChanges(entry, random);
    entry.time().runAll();

    int complete = 0;
    for (Receiver receiver : receivers) {
      assertEquals(receiver.ends, 1, "seed " + seed + ": ends of " + receiver.input);
      complete += receiver.verify();
    }
    assertEquals(upstreams.violations(), List.of(), "seed " + seed);
    assertEquals(entry.fakes().slotsInUse(), 0, "seed " + seed + ": slots not released");
    assertTrue(
        complete > REQUESTS / 3, "seed " + seed + ": only " + complete + " complete responses");
  }

  @Test
  public void naivePipelineDeliversWrongResponses() {
    VirtualEntry entry = new VirtualEntry();
    Random random = new Random(1_000);
    FaultyUpstreams upstreams = new FaultyUpstreams(random, entry.time(), entry.fakes(), 100);
    List<String> wrong = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      String input = "q" + i;
      NaivePipeline naive =
          new NaivePipeline(
              upstreams,
              input,
              result ->
                  result
                      .filter(text -> !text.equals(FaultyUpstreams.expectedOutput(input)))
                      .ifPresent(wrong::add));
      entry.time().schedule(random.nextInt(3_000), () -> naive.start(input));
    }
    entry.time().runAll();
    assertTrue(
        wrong.size() > REQUESTS / 10, "seed 1000: only " + wrong.size() + " wrong responses");
  }

  private static void start(
      VirtualEntry entry, FaultyUpstreams upstreams, Receiver receiver, Random random) {
    RequestContext request = entry.request(1_500);
    Pipeline pipeline = entry.fakes().current().pipeline("answer").orElseThrow();
    TextNode input = TextNode.valueOf(receiver.input);
    PipelinePlan plan =
        new PipelinePlan(entry.fakes().current(), pipeline, new PipelineInput(input, "", 0), "w1");
    PipelineRun run =
        new PipelineRun(
            pipeline,
            plan,
            request,
            entry.dependencies(upstreams),
            entry.dependencies(upstreams).policies().admission(),
            receiver);
    run.start(input);
    if (random.nextInt(20) == 0) {
      entry.time().schedule(random.nextInt(200), run::cancel);
    }
  }

  /** Takes a data centre out and returns it; later the configuration is not in force for 50 ms. */
  private static void scheduleConfigurationChanges(VirtualEntry entry, Random random) {
    entry.time().schedule(500 + random.nextInt(500), () -> entry.fakes().takeOut("dc-1"));
    entry.time().schedule(1_500 + random.nextInt(200), () -> entry.fakes().takeOut());
    entry.time().schedule(2_000, () -> entry.fakes().turnOff(EntryFakes.Condition.IN_FORCE));
    entry.time().schedule(2_050, () -> entry.fakes().turnOn(EntryFakes.Condition.IN_FORCE));
  }

  private static final class Receiver implements RequestReceiver {

    private final String input;
    private final String context;
    private final StringBuilder streamed = new StringBuilder();
    private int nextOffset;
    private int ends;
    private RequestResult result;

    private Receiver(long seed, String input) {
      this.input = input;
      this.context = "seed " + seed + ", " + input;
    }

    @Override
    public void onToken(int offset, String text) {
      assertEquals(offset, nextOffset++, context);
      assertEquals(ends, 0, context + ": token after the end");
      streamed.append(text);
    }

    @Override
    public void onEnd(RequestResult end) {
      ends++;
      result = end;
    }

    /** Verifies the result. Returns 1 if the response is complete, 0 if the result is an error. */
    private int verify() {
      String expected = FaultyUpstreams.expectedOutput(input);
      assertTrue(expected.startsWith(streamed.toString()), context + " got " + streamed);
      if (result.response().isLeft()) {
        boolean internal = result.response().getLeft() instanceof RequestError.Internal;
        assertFalse(internal, context + ": an invariant failed");
        return 0;
      }
      assertEquals(result.response().get().output().asText(), expected, context);
      assertEquals(streamed.toString(), expected, context);
      return 1;
    }
  }
}
