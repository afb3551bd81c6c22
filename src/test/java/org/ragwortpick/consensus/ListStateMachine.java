package org.ragwortpick.consensus;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/** State machine that stores all commands in order. */
final class ListStateMachine implements StateMachine {

  private final List<String> commands = new ArrayList<>();

  @Override
  public synchronized byte[] apply(long index, byte[] command) {
    commands.add(new String(command, StandardCharsets.UTF_8));
    return Integer.toString(commands.size()).getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public synchronized byte[] snapshot() {
    return String.join("\n", commands).getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public synchronized void restore(byte[] snapshot) {
    commands.clear();
    commands.addAll(
        Arrays.stream(new String(snapshot, StandardCharsets.UTF_8).split("\n"))
            .filter(line -> !line.isEmpty())
            .collect(Collectors.toList()));
  }

  synchronized List<String> commands() {
    return List.copyOf(commands);
  }
}
