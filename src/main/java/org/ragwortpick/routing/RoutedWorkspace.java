package org.ragwortpick.routing;

import java.util.List;

/**
 * Workspace that callers prove by a key.
 *
 * @param name unique name
 * @param keys keys of its callers
 * @param priority rank, 0 first, which goes before the rank of a route; null if there is none
 */
public record RoutedWorkspace(String name, List<String> keys, Integer priority) {

  /** Replaces an absent list by an empty one. */
  public RoutedWorkspace {
    keys = keys == null ? List.of() : List.copyOf(keys);
  }
}
