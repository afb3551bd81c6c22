package org.ragwortpick.ledger;

import java.util.List;
import java.util.stream.IntStream;

/**
 * Names of the consensus groups of the execution records, and the mapping of workspaces to them.
 */
public final class LedgerGroups {

  private static final String NAME_PREFIX = "executions-";
  private static final int FNV_OFFSET = 0x811C9DC5;
  private static final int FNV_PRIME = 0x01000193;

  private LedgerGroups() {}

  /**
   * Returns the names of the groups.
   *
   * @param count number of groups, the same on all VMs of a cluster and never changed
   * @return the names
   */
  public static List<String> names(int count) {
    return IntStream.range(0, count).mapToObj(number -> NAME_PREFIX + number).toList();
  }

  /**
   * Returns the group of a workspace, by a hash that does not depend on the Java release.
   *
   * @param workspace name of the workspace
   * @param count number of groups
   * @return number of the group, from 0
   */
  public static int indexOf(String workspace, int count) {
    int hash = FNV_OFFSET;
    for (int i = 0; i < workspace.length(); i++) {
      hash = (hash ^ workspace.charAt(i)) * FNV_PRIME;
    }
    return Integer.remainderUnsigned(hash, count);
  }
}
