package org.ragwortpick.entry;

/** Life cycle of the VM as the request path sees it. */
public interface WorkGate {

  /**
   * Tells whether new work may start.
   *
   * @return false while the VM finishes its work before a stop
   */
  boolean mayStartWork();
}
