package org.ragwortpick.sync;

/**
 * Request rate that an upstream named in its responses, or the fact that it names none any more.
 *
 * @param upstreamId id of the upstream
 * @param incarnation start of the upstream to which it applies
 * @param requestsPerSecond requests a second from all VMs together; {@link #NONE} after its end
 * @param version number of changes that were observed before this one
 */
public record UpstreamLimit(
    String upstreamId, long incarnation, double requestsPerSecond, long version) {

  /** Rate of an upstream that names no limit. */
  public static final double NONE = Double.POSITIVE_INFINITY;

  /**
   * Returns whether the upstream names a limit.
   *
   * @return false after the end of the limit
   */
  public boolean isInForce() {
    return requestsPerSecond != NONE;
  }

  /**
   * Merges two records of one upstream. Of two changes that were observed at once, the lower rate
   * counts.
   *
   * @param other the other record
   * @return the newer one
   */
  public UpstreamLimit merge(UpstreamLimit other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation ? this : other;
    }
    if (version != other.version) {
      return version > other.version ? this : other;
    }
    return requestsPerSecond <= other.requestsPerSecond ? this : other;
  }
}
