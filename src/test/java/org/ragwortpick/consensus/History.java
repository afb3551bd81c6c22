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

/** Commands of all replicas by index. State machine safety: no index has two commands. */
final class History {

  private final Map<Long, String> commandByIndex = new HashMap<>();
  private final Map<String, Long> indexByCommand = new HashMap<>();
  private final Map<String, Long> acknowledged = new HashMap<>();
  private final Map<String, Recorder> machines = new HashMap<>();

  StateMachine newStateMachine(String vm) {
    Recorder machine = new Recorder(vm);
    machines.put(vm, machine);
    return machine;
  }

  void acknowledged(String command, long index) {
    acknowledged.put(command, index);
  }

  int acknowledgedCount() {
    return acknowledged.size();
  }

  /** Checks that the state of a VM has every acknowledged command once, at its index. */
  void checkComplete(String vm) {
    List<String> lines = machines.get(vm).lines;
    for (Map.Entry<String, Long> entry : acknowledged.entrySet()) {
      String line = entry.getValue() + "=" + entry.getKey();
      assertEquals(
          Collections.frequency(lines, line), 1, "acknowledged " + line + " in the state of " + vm);
    }
  }

  String lastLine(String vm) {
    List<String> lines = machines.get(vm).lines;
    return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
  }

  private void check(String vm, long index, String command) {
    String known = commandByIndex.putIfAbsent(index, command);
    assertTrue(
        known == null || known.equals(command),
        "state machine safety: " + vm + " applies " + command + " at " + index + ", not " + known);
    Long other = indexByCommand.putIfAbsent(command, index);
    assertTrue(other == null || other == index, command + " applied at " + other + " and " + index);
  }

  private final class Recorder implements StateMachine {

    private final String vm;
    private final List<String> lines = new ArrayList<>();
    private long lastIndex;

    Recorder(String vm) {
      this.vm = vm;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
      String text = new String(command, StandardCharsets.UTF_8);
      assertTrue(index > lastIndex, vm + " applies " + index + " after " + lastIndex);
      lastIndex = index;
      check(vm, index, text);
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
