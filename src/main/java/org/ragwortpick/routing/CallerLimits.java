package org.ragwortpick.routing;

/**
 * Limits of the requests of callers.
 *
 * @param maxBodyBytes maximum size of a request body in bytes
 */
public record CallerLimits(long maxBodyBytes) {

  /** Limits of a configuration that sets none. */
  public static final CallerLimits DEFAULT = new CallerLimits(4_194_304);
}
