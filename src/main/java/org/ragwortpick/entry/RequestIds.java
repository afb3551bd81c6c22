package org.ragwortpick.entry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates request ids that are unique over all VMs and restarts.
 *
 * <p>A caller may use the same Request-Id for several requests. The id sent to upstreams therefore
 * always ends in a part generated here, so that such requests stay distinguishable.
 */
public final class RequestIds {

  private final String idPrefix;
  private final AtomicLong sequence = new AtomicLong();

  /**
   * Creates a generator.
   *
   * @param vm name of the VM
   * @param processRandom random number drawn at the start of the process
   */
  public RequestIds(String vm, long processRandom) {
    this.idPrefix = vm + "-" + Long.toHexString(processRandom);
  }

  /**
   * Generates an id.
   *
   * @return the id
   */
  public String next() {
    return idPrefix + "-" + Long.toHexString(sequence.incrementAndGet());
  }

  /**
   * Generates an id that starts with the id chosen by the caller.
   *
   * @param callerId id chosen by the caller; empty if there is none
   * @return the id
   */
  public String next(String callerId) {
    return callerId.isEmpty() ? next() : callerId + "." + next();
  }
}
