package org.ragwortpick.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ragwortpick.config.DocumentDelta;
import org.ragwortpick.proto.AnswerKind;
import org.ragwortpick.proto.AnswerMessage;
import org.ragwortpick.proto.ChangeCommand;
import org.ragwortpick.proto.ConfigurationCommand;
import org.ragwortpick.proto.OrderCommand;
import org.testng.annotations.Test;

/** Guards against deltas that lose a change and against unbounded tables. */
public final class ConfigurationStateMachineTest {

  private static final String KEY = "workspace/w";

  private static AnswerMessage apply(
      ConfigurationStateMachine machine, ChangeCommand.Builder change) {
    byte[] result =
        machine.apply(1, ConfigurationCommand.newBuilder().setChange(change).build().toByteArray());
    try {
      return AnswerMessage.parseFrom(result);
    } catch (InvalidProtocolBufferException e) {
      throw new AssertionError(e);
    }
  }

  private static ChangeCommand.Builder change(String id, long base) {
    return ChangeCommand.newBuilder()
        .setRequestId(id)
        .setRequestDigest("d")
        .setBaseRevision(base)
        .setAnswer(AnswerMessage.newBuilder().setKind(AnswerKind.ANSWER_KIND_ACCEPTED));
  }

  private static String workspace(long number) {
    return "{\"name\":\"w" + number + "\",\"weight\":1}";
  }

  @Test
  public void deltaFromEarlierRevisionYieldsCurrentDocuments() {
    ConfigurationStateMachine machine = new ConfigurationStateMachine();
    SortedMap<String, String> documentsAtRevision3 = new TreeMap<>();
    for (long base = 0; base < 10; base++) {
      ChangeCommand.Builder change =
          change("r" + base, base).putPuts(KEY + base % 4, workspace(base % 4 + base * 10));
      if (base % 3 == 2) {
        change.addDeletes(KEY + (base + 1) % 4);
      }
      assertEquals(apply(machine, change).getRevision(), base + 1);
      if (base == 2) {
        documentsAtRevision3.putAll(machine.current().documents());
      }
    }
    ConfigurationStateMachine copy = new ConfigurationStateMachine();
    copy.restore(machine.snapshot());
    copy.deltaSince(3).orElseThrow().applyTo(documentsAtRevision3);
    assertEquals(documentsAtRevision3, machine.current().documents());
    SortedMap<String, String> full = new TreeMap<>();
    copy.fullDelta().applyTo(full);
    assertEquals(full, machine.current().documents());
    assertTrue(copy.deltaSince(10).orElseThrow().isEmpty());
    assertEquals(copy.deltaSince(11), Optional.<DocumentDelta>empty());
  }

  @Test
  public void limitsStoredDeltasAndAnswers() {
    ConfigurationStateMachine machine = new ConfigurationStateMachine();
    int count = OperatorRequests.MAX_REQUESTS + 1;
    for (long base = 0; base < count; base++) {
      apply(machine, change("r" + base, base).putPuts(KEY, workspace(base)));
    }
    long oldest = count - ConfigurationStateMachine.MAX_DELTAS;
    assertTrue(machine.deltaSince(oldest).isPresent());
    assertFalse(machine.deltaSince(oldest - 1).isPresent());
    assertEquals(apply(machine, change("r1", 1)).getRevision(), 2);
    assertEquals(apply(machine, change("r0", 0)).getKind(), AnswerKind.ANSWER_KIND_CONFLICT);
  }

  @Test
  public void unevaluatedProposalStoresNoAnswer() {
    ConfigurationStateMachine machine = new ConfigurationStateMachine();
    ChangeCommand.Builder unevaluated = change("r", 0).setUnevaluated(true);
    assertEquals(apply(machine, unevaluated).getKind(), AnswerKind.ANSWER_KIND_CONFLICT);
    ChangeCommand.Builder evaluated = change("r", 0).putPuts(KEY, workspace(1));
    assertEquals(apply(machine, evaluated).getKind(), AnswerKind.ANSWER_KIND_ACCEPTED);
    assertEquals(apply(machine, unevaluated).getKind(), AnswerKind.ANSWER_KIND_ACCEPTED);
  }

  @Test
  public void snapshotKeepsOnlyTheSupersedingOrder() {
    ConfigurationStateMachine machine = new ConfigurationStateMachine();
    for (String model : new String[] {"a", "b"}) {
      EngineOrder order =
          new EngineOrder("o-" + model, "e1", OrderAction.LOAD_MODEL, model, "1", "", "", 3);
      machine.apply(
          1,
          ConfigurationCommand.newBuilder()
              .setOrder(OrderCommand.newBuilder().setOrder(ControlCodec.encode(order)))
              .build()
              .toByteArray());
    }
    ConfigurationStateMachine copy = new ConfigurationStateMachine();
    copy.restore(machine.snapshot());
    assertEquals(copy.openOrders().size(), 1);
    assertEquals(copy.openOrders(), machine.openOrders());
    assertEquals(copy.openOrders().get(0).model(), "b");
  }
}
