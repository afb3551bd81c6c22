package org.ragwortpick.config;

import java.util.List;

/**
 * Sequence of stages under one deadline.
 *
 * @param name unique name
 * @param deadlineMs default deadline of a request in milliseconds
 * @param stages stages in order of execution
 */
public record Pipeline(String name, long deadlineMs, List<Stage> stages) {

  /** Replaces an absent list of stages by an empty one. */
  public Pipeline {
    stages = stages == null ? List.of() : List.copyOf(stages);
  }
}
