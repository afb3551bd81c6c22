package org.ragwortpick.sync;

/** State of an upstream; {@code upstream.json} defines the transitions. */
public enum UpstreamState {
  /** In cold start: runs only as many requests as its cold limit or its ramp allows. */
  COLD,
  /** Runs as many requests as it has slots. */
  READY,
  /** Finishes its requests and accepts no new ones. */
  LEAVING,
  /** Has not announced itself for longer than the announcement timeout. */
  LOST
}
