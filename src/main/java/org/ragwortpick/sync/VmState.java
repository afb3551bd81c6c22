package org.ragwortpick.sync;

/** Life cycle state of a VM; the transitions stand in {@code vm.json}. */
public enum VmState {
  /** Has no configuration in force yet. */
  STARTING,
  /** Serves callers. */
  READY,
  /** Is out of the address answers and still serves callers. */
  LEAVING,
  /** Finishes its requests and refuses new ones. */
  DRAINING,
  /** Serves nothing. */
  STOPPED
}
