package org.ragwortpick.sync;

import java.util.Objects;

/**
 * End of an upstream during a response, as evidence against what a request contains.
 *
 * <p>Crashes with different observation times are equal, because each VM counts the time by its own
 * clock.
 *
 * @param upstreamId id of the upstream
 * @param incarnation incarnation of the upstream that ended
 * @param observedAtMs monotonic time of the local VM in milliseconds at which the crash was
 *     observed by any VM
 * @param cleared whether a response to a request with the same content shows that it is not the
 *     cause
 */
public record Crash(String upstreamId, long incarnation, long observedAtMs, boolean cleared) {

  /**
   * Returns the crash as cleared evidence.
   *
   * @return the crash, cleared
   */
  public Crash asCleared() {
    return cleared ? this : new Crash(upstreamId, incarnation, observedAtMs, true);
  }

  /**
   * Returns whether two records are evidence of the end of the same incarnation.
   *
   * @param other the other record
   * @return whether upstream and incarnation are the same
   */
  public boolean isSameAs(Crash other) {
    return incarnation == other.incarnation && upstreamId.equals(other.upstreamId);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Crash crash && isSameAs(crash) && cleared == crash.cleared;
  }

  @Override
  public int hashCode() {
    return Objects.hash(upstreamId, incarnation, cleared);
  }
}
