package org.ragwortpick.routing;

/**
 * Limits of what callers may send.
 *
 * @param maxBodyBytes most bytes of a body
 */
public record CallerLimits(long maxBodyBytes) {

  /** Limits that apply while a configuration states none. */
  public static final CallerLimits DEFAULT = new CallerLimits(4_194_304);
}
