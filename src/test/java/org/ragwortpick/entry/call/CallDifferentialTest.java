package org.ragwortpick.entry.call;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.EntryFakes;
import org.ragwortpick.entry.FakeLedger;
import org.ragwortpick.entry.FaultyUpstreams;
import org.ragwortpick.entry.FlakyLedger;
import org.ragwortpick.entry.VirtualEntry;
import org.ragwortpick.entry.upstream.AttemptId;
import org.ragwortpick.entry.upstream.ServerSentEvent;
import org.ragwortpick.entry.upstream.UpstreamClient;
import org.ragwortpick.entry.upstream.UpstreamEnd;
import org.ragwortpick.entry.upstream.UpstreamHead;
import org.ragwortpick.entry.upstream.UpstreamListener;
import org.ragwortpick.entry.upstream.UpstreamRequest;
import org.ragwortpick.error.ExecutionOutcome;
import org.ragwortpick.ledger.ExecutionKey;
import org.ragwortpick.ledger.ExecutionState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against bookings that run twice, and against "not run" reported for a booking that ran,
 * when callers send a booking several times and ledger messages, connections and responses are
 * lost.
 */
public final class CallDifferentialTest {

  private static final int CALLS = 300;

  @DataProvider
  Object[][] seeds() {
    Object[][] seeds = new Object[20][];
    for (int i = 0; i < seeds.length; i++) {
      seeds[i] = new Object[] {2_000L + i};
    }
    return seeds;
  }

  @Test(dataProvider = "seeds")
  public void bookingsRunAtMostOnceAndNotRunIsTrue(long seed) {
    VirtualEntry entry = new VirtualEntry();
    Random random = new Random(seed);
    FaultyUpstreams upstreams = new FaultyUpstreams(random, entry.time(), entry.fakes(), 100);
    FakeLedger records = new FakeLedger(entry.time().clock());
    FlakyLedger ledger = new FlakyLedger(records, entry.time(), random);
    entry.fakes().limitSlots(20);
    List<List<CallResult>> results = new ArrayList<>();
    for (int i = 0; i < CALLS; i++) {
      String body = body(i);
      List<CallResult> replies = new ArrayList<>();
      results.add(replies);
      long atMs = random.nextInt(3_000);
      for (int copy = 0; copy <= random.nextInt(3); copy++) {
        entry
            .time()
            .schedule(
                atMs + random.nextInt(400),
                () -> start(entry, upstreams, ledger, body, replies, "seed " + seed + ", " + body));
      }
    }
    entry.time().schedule(800, () -> entry.fakes().takeOut("dc-1"));
    entry.time().schedule(1_700, () -> entry.fakes().takeOut());
    entry.time().schedule(2_000, () -> entry.fakes().turnOff(EntryFakes.Condition.IN_FORCE));
    entry.time().schedule(2_100, () -> entry.fakes().turnOn(EntryFakes.Condition.IN_FORCE));
    entry.time().runAll();

    int done = 0;
    for (int i = 0; i < CALLS; i++) {
      done += verify(seed, i, upstreams, records, results.get(i));
    }
    assertEquals(upstreams.violations(), List.of(), "seed " + seed);
    assertEquals(entry.fakes().slotsInUse(), 0, "seed " + seed + ": slots not released");
    assertTrue(done > CALLS / 3, "seed " + seed + ": only " + done + " responses");
  }

  /** Verifies the results of one booking. Returns 1 if a caller got the response, otherwise 0. */
  private static int verify(
      long seed,
      int index,
      FaultyUpstreams upstreams,
      FakeLedger records,
      List<CallResult> replies) {
    String context = "seed " + seed + ", call " + index;
    int executions = upstreams.executions(body(index));
    assertTrue(executions <= 1, context + " ran " + executions + " times");
    ExecutionState state = records.state(new ExecutionKey("w1", body(index)));
    if (state == ExecutionState.NOT_RUN) {
      assertEquals(executions, 0, context + " is recorded as not run");
    }
    int done = 0;
    for (CallResult reply : replies) {
      if (reply.execution() == ExecutionOutcome.DONE) {
        assertEquals(executions, 1, context + " has a response");
        done = 1;
      } else if (reply.execution() == ExecutionOutcome.NOT_RUN && state == ExecutionState.NOT_RUN) {
        assertEquals(executions, 0, context + " was refused as not run");
      }
    }
    return done;
  }

  @Test
  public void naiveCallRunsBookingsTwice() {
    VirtualEntry entry = new VirtualEntry();
    Random random = new Random(2_000);
    FaultyUpstreams upstreams = new FaultyUpstreams(random, entry.time(), entry.fakes(), 100);
    for (int i = 0; i < CALLS; i++) {
      String body = body(i);
      entry.time().schedule(random.nextInt(3_000), () -> new NaiveCall(upstreams, body).send());
    }
    entry.time().runAll();
    long twice = 0;
    for (int i = 0; i < CALLS; i++) {
      twice += upstreams.executions(body(i)) > 1 ? 1 : 0;
    }
    assertTrue(twice > CALLS / 10, "seed 2000: only " + twice + " ran twice");
  }

  private static String body(int index) {
    return "{\"input\":\"b" + index + "\"}";
  }

  private static void start(
      VirtualEntry entry,
      FaultyUpstreams upstreams,
      FlakyLedger ledger,
      String body,
      List<CallResult> replies,
      String context) {
    CallRequest call =
        new CallRequest(
            new ExecutionKey("w1", body),
            "booking",
            body.getBytes(StandardCharsets.UTF_8),
            body,
            OptionalLong.empty());
    new NonIdempotentCall(
            call,
            entry.request(1_500),
            entry.dependencies(upstreams),
            ledger,
            "vm",
            reply -> {
              boolean ran = upstreams.executions(body) > 0;
              assertFalse(
                  ran && reply.execution() == ExecutionOutcome.NOT_RUN,
                  context + " was refused as not run");
              replies.add(reply);
            })
        .start();
  }

  /** Client without the ledger: sends the call again after any failure. */
  private static final class NaiveCall implements UpstreamListener {

    private final UpstreamClient client;
    private final String body;
    private int attempts;

    private NaiveCall(UpstreamClient client, String body) {
      this.client = client;
      this.body = body;
    }

    private void send() {
      if (attempts++ < 4) {
        client.send(
            new UpstreamRequest(
                new HostPort("10.0.7.1", 80),
                "/v1/execute",
                new AttemptId(body, "call", 1),
                1_500,
                "",
                body.getBytes(StandardCharsets.UTF_8),
                false,
                true,
                300,
                () -> true),
            this);
      }
    }

    @Override
    public void onHead(UpstreamHead head) {
      // The attempt id of the response is not checked.
    }

    @Override
    public void onEvent(ServerSentEvent event) {
      // A booking has no events.
    }

    @Override
    public void onEnd(UpstreamEnd end) {
      if (!(end instanceof UpstreamEnd.Answered answered && answered.head().status() == 200)) {
        send();
      }
    }
  }
}
