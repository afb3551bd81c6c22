package org.ragwortpick.common;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * State chart read from a JSON resource under {@code /statecharts}.
 *
 * <p>The file lists the states, the initial state and the transitions; an event without a
 * transition from the current state is not allowed.
 */
public final class StateChart {

  private static final String RESOURCE_PREFIX = "/statecharts/";

  private final String name;
  private final String initialState;
  private final Map<Key, String> nextStates;

  private StateChart(String name, Definition definition) {
    this.name = name;
    this.initialState = definition.initial();
    this.nextStates = indexTransitions(name, definition);
  }

  /**
   * Loads a state chart from the class path.
   *
   * @param fileName file name below {@code /statecharts}, such as {@code vm.json}
   * @return the state chart
   * @throws IllegalArgumentException if the file is missing or names an undeclared state
   * @throws UncheckedIOException if the file cannot be read
   */
  public static StateChart load(String fileName) {
    try (InputStream in = StateChart.class.getResourceAsStream(RESOURCE_PREFIX + fileName)) {
      if (in == null) {
        throw new IllegalArgumentException(
            "state chart " + fileName + " is missing; add it under " + RESOURCE_PREFIX);
      }
      return new StateChart(fileName, readDefinition(Json.FILES.readTree(in)));
    } catch (IOException e) {
      throw new UncheckedIOException("cannot read state chart " + fileName, e);
    }
  }

  /** Reads the tree without data binding, whose first use costs more than the rest of the chart. */
  private static Definition readDefinition(JsonNode root) {
    List<Transition> transitions = new ArrayList<>();
    for (JsonNode transition : root.required("transitions")) {
      transitions.add(
          new Transition(
              readNames(transition.required("from")),
              transition.required("event").asText(),
              transition.required("to").asText()));
    }
    return new Definition(
        readNames(root.required("states")), root.required("initial").asText(), transitions);
  }

  private static List<String> readNames(JsonNode array) {
    List<String> names = new ArrayList<>(array.size());
    for (JsonNode name : array) {
      names.add(name.asText());
    }
    return names;
  }

  private static Map<Key, String> indexTransitions(String name, Definition definition) {
    Set<String> states = Set.copyOf(definition.states());
    Map<Key, String> nextStates = new HashMap<>();
    for (Transition transition : definition.transitions()) {
      for (String from : transition.from()) {
        requireDeclared(name, states, from);
        requireDeclared(name, states, transition.to());
        nextStates.put(new Key(from, transition.event()), transition.to());
      }
    }
    requireDeclared(name, states, definition.initial());
    return Map.copyOf(nextStates);
  }

  private static void requireDeclared(String name, Set<String> states, String state) {
    if (!states.contains(state)) {
      throw new IllegalArgumentException(
          "state chart " + name + " uses the undeclared state " + state + "; add it to states");
    }
  }

  /**
   * Returns the state in which the chart starts.
   *
   * @return the initial state
   */
  public String initialState() {
    return initialState;
  }

  /**
   * Finds the state that follows an event.
   *
   * @param state current state
   * @param event event to handle
   * @return the next state, or empty if the event is not allowed in the current state
   */
  public Optional<String> next(String state, String event) {
    return Optional.ofNullable(nextStates.get(new Key(state, event)));
  }

  @Override
  public String toString() {
    return "StateChart(" + name + ")";
  }

  private record Key(String state, String event) {}

  private record Definition(List<String> states, String initial, List<Transition> transitions) {}

  private record Transition(List<String> from, String event, String to) {}
}
