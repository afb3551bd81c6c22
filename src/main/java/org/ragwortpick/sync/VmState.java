package org.ragwortpick.sync;

/** Life cycle state of a VM; {@code vm.json} defines the transitions. */
public enum VmState {
  /** Has no configuration in force yet. */
  STARTING,
  /** Serves callers. */
  READY,
  /** Is no longer listed in address responses but still serves callers. */
  LEAVING,
  /** Finishes its requests and rejects new ones. */
  DRAINING,
  /** Serves nothing. */
  STOPPED
}
