package org.ragwortpick.entry.upstream;

import java.util.Optional;

/**
 * Status and parsed headers of a response.
 *
 * @param status HTTP status
 * @param returnedId attempt id that the upstream returned; empty if it is absent or malformed
 * @param cold whether the upstream reports that it is in cold start
 */
public record UpstreamHead(int status, Optional<AttemptId> returnedId, boolean cold) {

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
