package org.ragwortpick.sync;

/** State of an upstream; the transitions stand in {@code upstream.json}. */
public enum UpstreamState {
  /** Starts up and bears little. */
  COLD,
  /** Takes its full number of requests. */
  READY,
  /** Finishes its requests and takes no new ones. */
  LEAVING,
  /** Has not announced itself for longer than the announcement timeout. */
  LOST
}
