package org.ragwortpick.policy;

/** How an attempt at an upstream ended. */
public enum AttemptResult {
  /** The whole response arrived. */
  SUCCESS,
  /** The upstream refused the request because it is overloaded or cold. */
  REFUSED,
  /** The upstream failed or the connection broke. */
  FAILED,
  /** No byte arrived within the progress timeout. */
  TIMED_OUT,
  /** The attempt was cancelled because another attempt completed first. */
  CANCELLED
}
