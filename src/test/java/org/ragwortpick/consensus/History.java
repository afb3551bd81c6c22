package org.ragwortpick.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records the commands that all replicas apply and checks state machine safety: no index has two
 * commands.
 */
final class History {

  private final Map<Long, String> commandByIndex = new HashMap<>();
  private final Map<String, Long> indexByCommand = new HashMap<>();
  private final Map<String, Long> acknowledged = new HashMap<>();
  private final Map<String, RecordingStateMachine> stateMachines = new HashMap<>();

  StateMachine newStateMachine(String vm) {
    RecordingStateMachine machine = new RecordingStateMachine(vm);
    stateMachines.put(vm, machine);
    return machine;
  }

  void recordAcknowledged(String command, long index) {
    acknowledged.put(command, index);
  }

  int acknowledgedCount() {
    return acknowledged.size();
  }

  /** Checks that the state of a VM has every acknowledged command once, at its index. */
  void checkComplete(String vm) {
    List<String> lines = stateMachines.get(vm).lines;
    for (Map.Entry<String, Long> entry : acknowledged.entrySet()) {
      String line = entry.getValue() + "=" + entry.getKey();
      assertEquals(
          Collections.frequency(lines, line), 1, "acknowledged " + line + " in the state of " + vm);
    }
  }

  String lastLine(String vm) {
    List<String> lines = stateMachines.get(vm).lines;
    return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
  }

  private void recordApplied(String vm, long index, String command) {
    String recorded = commandByIndex.putIfAbsent(index, command);
    assertTrue(
        recorded == null || recorded.equals(command),
        "state machine safety: "
            + vm
            + " applies "
            + command
            + " at "
            + index
            + ", not "
            + recorded);
    Long recordedIndex = indexByCommand.putIfAbsent(command, index);
    assertTrue(
        recordedIndex == null || recordedIndex == index,
        command + " applied at " + recordedIndex + " and " + index);
  }

  private final class RecordingStateMachine implements StateMachine {

    private final String vm;
    private final List<String> lines = new ArrayList<>();
    private long lastIndex;

    RecordingStateMachine(String vm) {
      this.vm = vm;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
      String text = new String(command, StandardCharsets.UTF_8);
      assertTrue(index > lastIndex, vm + " applies " + index + " after " + lastIndex);
      lastIndex = index;
      recordApplied(vm, index, text);
      lines.add(index + "=" + text);
      return command;
    }

    @Override
    public byte[] snapshot() {
      return String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void restore(byte[] snapshot) {
      lines.clear();
      Arrays.stream(new String(snapshot, StandardCharsets.UTF_8).split("\n"))
          .filter(line -> !line.isEmpty())
          .forEach(lines::add);
      if (!lines.isEmpty()) {
        lastIndex = Long.parseLong(lastLine(vm).split("=")[0]);
      }
    }
  }
}
