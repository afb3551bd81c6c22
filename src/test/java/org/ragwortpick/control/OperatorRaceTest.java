package org.ragwortpick.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.ragwortpick.config.Inventory;
import org.ragwortpick.config.Workspace;
import org.testng.annotations.Test;

/**
 * Guards against changes that are lost or applied twice when operators propose changes on equal
 * base revisions and resend requests whose answers were lost. Each operator increments the weight
 * of one workspace a few times, so every lost or repeated change shows in the final weight.
 */
public final class OperatorRaceTest {

  private static final int SEEDS = 2_000;
  private static final int NEW_ID_SEEDS = 500;
  private static final int OPERATORS = 3;
  private static final int INCREMENTS = 3;
  private static final int EXPECTED_WEIGHT = 1 + OPERATORS * INCREMENTS;

  @Test
  public void everyIncrementIsAppliedOnce() {
    for (int seed = 0; seed < SEEDS; seed++) {
      assertEquals(new Race(seed, true).run(), EXPECTED_WEIGHT, "seed " + seed);
    }
  }

  @Test
  public void resendsWithNewRequestIdsRepeatChanges() {
    int wrongRuns = 0;
    for (int seed = 0; seed < NEW_ID_SEEDS; seed++) {
      wrongRuns += new Race(seed, false).run() == EXPECTED_WEIGHT ? 0 : 1;
    }
    assertTrue(
        wrongRuns > NEW_ID_SEEDS / 2,
        "wrong in only " + wrongRuns + " of " + NEW_ID_SEEDS + " runs");
  }

  private static final class Race {
    private final long seed;
    private final Random random;
    private final boolean keepsRequestId;
    private final ControlFixture control = new ControlFixture();
    private final Map<String, Either<AdministrationError, AcceptedChange>> firstAnswers =
        new HashMap<>();
    private final List<ProposeRequest> delayed = new ArrayList<>();
    private int nextId;

    Race(long seed, boolean keepsRequestId) {
      this.seed = seed;
      random = new Random(seed);
      this.keepsRequestId = keepsRequestId;
    }

    int run() {
      control.propose(ControlFixture.inventory(List.of(), new Workspace("w1", 1)));
      List<Operator> operators = new ArrayList<>();
      for (int i = 0; i < OPERATORS; i++) {
        operators.add(new Operator());
      }
      while (operators.stream().anyMatch(operator -> operator.remaining > 0)) {
        operators.get(random.nextInt(OPERATORS)).step();
        if (!delayed.isEmpty() && random.nextInt(4) == 0) {
          deliver(delayed.remove(random.nextInt(delayed.size())));
        }
        if (random.nextInt(50) == 0) {
          control.machine().restore(control.machine().snapshot());
        }
      }
      delayed.forEach(this::deliver);
      return control.machine().current().configuration().workspace("w1").orElseThrow().weight();
    }

    /** Delivers a request; all deliveries of a request must get the same answer. */
    private Either<AdministrationError, AcceptedChange> deliver(ProposeRequest request) {
      Either<AdministrationError, AcceptedChange> answer =
          ControlFixture.get(control.administration().propose(request, ControlFixture.TIMEOUT_MS));
      Either<AdministrationError, AcceptedChange> first =
          firstAnswers.putIfAbsent(request.requestId(), answer);
      assertTrue(
          first == null || first.equals(answer),
          "seed " + seed + ": " + first + " was followed by " + answer);
      return answer;
    }

    private final class Operator {
      private int remaining = INCREMENTS;
      private Optional<ProposeRequest> request = Optional.empty();

      void step() {
        if (remaining == 0) {
          return;
        }
        if (request.isEmpty()) {
          request = Optional.of(newRequest());
          return;
        }
        ProposeRequest sent = keepsRequestId ? request.get() : withNewId(request.get());
        int delivery = random.nextInt(4);
        if (delivery == 0) {
          delayed.add(sent);
          return;
        }
        Either<AdministrationError, AcceptedChange> answer = deliver(sent);
        boolean answerLost = delivery == 1;
        if (!answerLost) {
          remaining -= answer.isRight() ? 1 : 0;
          request = Optional.empty();
        }
      }

      private ProposeRequest newRequest() {
        ConfigurationVersion base = control.machine().current();
        int weight = base.configuration().workspace("w1").orElseThrow().weight();
        Inventory incremented =
            ControlFixture.inventory(List.of(), new Workspace("w1", weight + 1));
        return withNewId(
            new ProposeRequest("", base.revision(), Optional.of(incremented), Optional.empty()));
      }

      private ProposeRequest withNewId(ProposeRequest of) {
        return new ProposeRequest("r" + nextId++, of.baseRevision(), of.inventory(), of.rules());
      }
    }
  }
}
