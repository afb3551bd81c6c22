package org.ragwortpick.routing;

/**
 * Limits of what callers may send.
 *
 * @param maxHeaderBytes most bytes of a request line and its headers
 * @param maxBodyBytes most bytes of a body
 * @param headerTimeoutMs longest time in milliseconds until the headers are complete
 * @param idleTimeoutMs longest time in milliseconds between two requests of a connection
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

  /** Limits that apply while a configuration states none. */
  public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}
