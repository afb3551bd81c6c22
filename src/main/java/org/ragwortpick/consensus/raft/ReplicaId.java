package org.ragwortpick.consensus.raft;

/** Formats and parses identities of replicas: {@code <vm>/<incarnation of its disk>}. */
public final class ReplicaId {

  /** Incarnation of a disk that was formatted by bootstrap. */
  public static final String BOOTSTRAP_INCARNATION = "0";

  private ReplicaId() {}

  /**
   * Formats an identity.
   *
   * @param vm name of the VM
   * @param incarnation incarnation of its disk
   * @return the identity
   */
  public static String of(String vm, String incarnation) {
    return vm + "/" + incarnation;
  }

  /**
   * Returns the VM of an identity.
   *
   * @param identity identity of a replica
   * @return name of the VM
   */
  public static String vmOf(String identity) {
    int separator = identity.lastIndexOf('/');
    return separator < 0 ? identity : identity.substring(0, separator);
  }
}
