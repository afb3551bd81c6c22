package org.ragwortpick.entry.upstream;

import java.util.Optional;

/**
 * Status and parsed headers of a response.
 *
 * @param status HTTP status
 * @param returnedId attempt id that the upstream returned; empty if it is absent or malformed
 * @param cold whether the upstream reports that it is in cold start
 * @param leaving whether the upstream reports that it is leaving
 * @param retryAfterMs retry time in milliseconds; 0 if none is stated
 */
public record UpstreamHead(
    int status, Optional<AttemptId> returnedId, boolean cold, boolean leaving, long retryAfterMs) {

  private static final int UNAVAILABLE = 503;

  /**
   * Returns whether the response requests a pause, which is no failure of its upstream.
   *
   * @return whether it is a refusal with a retry time
   */
  public boolean requestsPause() {
    return status == UNAVAILABLE && retryAfterMs > 0;
  }

  /**
   * Tells whether the response belongs to an attempt.
   *
   * @param id id of the attempt
   * @return true if the upstream returned exactly this id
   */
  public boolean belongsTo(AttemptId id) {
    return returnedId.isPresent() && returnedId.get().equals(id);
  }
}
