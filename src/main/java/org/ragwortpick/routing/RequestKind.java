package org.ragwortpick.routing;

/** Whether the requests of a route may be repeated. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs at most once for each attempt of a caller. */
  NON_IDEMPOTENT,
  /**
   * The response is a stream of numbered events; runs at most once unless the route is resumable.
   */
  STREAMING
}
