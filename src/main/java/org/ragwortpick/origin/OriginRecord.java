package org.ragwortpick.origin;

/**
 * Record of the version at which a request runs.
 *
 * @param key key of the request
 * @param version version of the upstream
 * @param lifetimeMs time after which the record is dropped in milliseconds
 */
record OriginRecord(OriginKey key, String version, long lifetimeMs) {

  /** Versions come from outside; the longest one that is recorded, in characters. */
  private static final int MAX_VERSION_LENGTH = 200;

  /**
   * Tells whether the record may be kept.
   *
   * @return false if it is too long or has expired
   */
  boolean isValid() {
    return version.length() <= MAX_VERSION_LENGTH && lifetimeMs > 0;
  }
}
