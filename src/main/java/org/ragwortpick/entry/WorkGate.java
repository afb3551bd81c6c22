package org.ragwortpick.entry;

/** Tells the request path whether the VM accepts new work. */
public interface WorkGate {

  /**
   * Tells whether new work may start.
   *
   * @return false if no new work may start, for example while the VM drains before a stop
   */
  boolean mayStartWork();
}
