package org.ragwortpick.routing;

import java.util.List;

/**
 * Workspace whose callers authenticate by a key.
 *
 * @param name unique name
 * @param keys keys of its callers
 * @param priority priority that replaces that of the route, 0 for the most urgent; null to keep
 *     that of the route
 */
public record RoutedWorkspace(String name, List<String> keys, Integer priority) {

  /** Replaces an absent list by an empty list. */
  public RoutedWorkspace {
    keys = keys == null ? List.of() : List.copyOf(keys);
  }
}
