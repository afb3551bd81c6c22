package org.ragwortpick.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ragwortpick.config.DocumentDelta;
import org.ragwortpick.proto.AnswerKind;
import org.ragwortpick.proto.AnswerMessage;
import org.ragwortpick.proto.ChangeCommand;
import org.ragwortpick.proto.ConfigurationCommand;
import org.ragwortpick.proto.ConfigurationSnapshot;
import org.ragwortpick.proto.OrderCommand;
import org.ragwortpick.proto.RevisionMessage;
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

  /** Texts of replaced documents that were kept would fill the heap after some large changes. */
  @Test
  public void snapshotHoldsEachDocumentOnce() {
    ConfigurationStateMachine machine = new ConfigurationStateMachine();
    int documentBytes = 300_000;
    String text = "x".repeat(documentBytes);
    for (long base = 0; base < 100; base++) {
      apply(machine, change("", base).putPuts(KEY, text + base));
    }
    int snapshotBytes = machine.snapshot().length;
    assertTrue(snapshotBytes < 2 * documentBytes, "snapshot of " + snapshotBytes + " bytes");
    DocumentDelta delta = machine.deltaSince(1).orElseThrow();
    assertEquals(delta.toRevision(), 100);
    assertEquals(delta.puts(), machine.current().documents());
  }

  /** A release that wrote the changes of each revision must be followed without a loss. */
  @Test
  public void snapshotOfEarlierReleaseIsRestored() {
    ConfigurationSnapshot earlier =
        ConfigurationSnapshot.newBuilder()
            .setRevision(8)
            .putDocuments("a", "1")
            .putDocuments("b", "2")
            .addChanges(RevisionMessage.newBuilder().setRevision(7).putPuts("b", "2"))
            .addChanges(RevisionMessage.newBuilder().setRevision(8).addDeletes("c"))
            .build();
    ConfigurationStateMachine machine = new ConfigurationStateMachine();
    machine.restore(earlier.toByteArray());
    assertTrue(machine.deltaSince(5).isEmpty());
    DocumentDelta delta = machine.deltaSince(6).orElseThrow();
    assertEquals(delta.puts(), Map.of("b", "2"));
    assertEquals(delta.deletes(), Set.of("c"));
    assertEquals(machine.deltaSince(7).orElseThrow().puts(), Map.of());
  }

  /** Answers with long findings would fill the heap long before their number is limited. */
  @Test
  public void limitsBytesOfStoredAnswers() {
    OperatorRequests requests = new OperatorRequests();
    AnswerMessage answer = AnswerMessage.newBuilder().addFindings("x".repeat(100_000)).build();
    for (int i = 0; i < 200; i++) {
      requests.add(OperatorRequests.entry("r" + i, "d", answer));
    }
    long bytes = requests.entries().stream().mapToLong(next -> next.getSerializedSize()).sum();
    assertTrue(bytes <= OperatorRequests.MAX_BYTES, bytes + " bytes");
    assertTrue(requests.find("r199").isPresent() && requests.find("r0").isEmpty());
  }

  @Test
  public void limitsStoredAnswers() {
    ConfigurationStateMachine machine = new ConfigurationStateMachine();
    int count = OperatorRequests.MAX_REQUESTS + 1;
    for (long base = 0; base < count; base++) {
      apply(machine, change("r" + base, base).putPuts(KEY, workspace(base)));
    }
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
