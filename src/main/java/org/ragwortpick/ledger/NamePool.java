package org.ragwortpick.ledger;

import java.util.HashMap;
import java.util.Map;

/**
 * Interns names, because thousands of records contain the names of few workspaces, services and
 * VMs. The number of names is limited, so that callers cannot exhaust the memory.
 */
final class NamePool {

  private static final int MAX_NAMES = 65_536;

  private final Map<String, String> names = new HashMap<>();

  /**
   * Returns the shared instance of a name.
   *
   * @param name the name
   * @return an equal string
   */
  String intern(String name) {
    String shared = names.get(name);
    if (shared != null) {
      return shared;
    }
    if (names.size() >= MAX_NAMES) {
      names.clear();
    }
    names.put(name, name);
    return name;
  }
}
