package org.ragwortpick.entry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Identities of requests and attempts, unique over all VMs and restarts.
 *
 * <p>A caller may repeat its own Request-Id. Upstreams and other callers must not confuse such
 * requests, so the identity that goes to upstreams always ends in a part chosen here.
 */
public final class RequestIds {

  private final String processId;
  private final AtomicLong sequence = new AtomicLong();

  /**
   * Creates a source of identities.
   *
   * @param vm name of the VM
   * @param processRandom random number drawn at the start of the process
   */
  public RequestIds(String vm, long processRandom) {
    this.processId = vm + "-" + Long.toHexString(processRandom);
  }

  /**
   * Returns a new identity.
   *
   * @return the identity
   */
  public String next() {
    return processId + "-" + Long.toHexString(sequence.incrementAndGet());
  }

  /**
   * Returns a new identity that starts with the one of the caller.
   *
   * @param callerId identity that the caller chose; empty if it chose none
   * @return the identity
   */
  public String next(String callerId) {
    return callerId.isEmpty() ? next() : callerId + "." + next();
  }
}
