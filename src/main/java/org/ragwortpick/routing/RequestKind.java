package org.ragwortpick.routing;

/** What may be repeated of the requests of a route. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs at most once for each attempt of a caller. */
  NON_IDEMPOTENT,
  /** Answered by a stream of numbered events; runs at most once unless the route is resumable. */
  STREAMING
}
