package org.ragwortpick.entry.upstream;

import java.util.Optional;

/**
 * Status and headers of an answer.
 *
 * @param status HTTP status
 * @param echoed identity that the upstream repeated; empty if it is absent or malformed
 * @param cold whether the upstream says that it is in cold start
 */
public record UpstreamHead(int status, Optional<AttemptId> echoed, boolean cold) {

  /**
   * Tells whether the answer belongs to an attempt.
   *
   * @param id identity of the attempt
   * @return true if the upstream repeated exactly this identity
   */
  public boolean belongsTo(AttemptId id) {
    return echoed.isPresent() && echoed.get().equals(id);
  }
}
