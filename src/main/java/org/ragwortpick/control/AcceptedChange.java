package org.ragwortpick.control;

import java.util.List;
import java.util.Optional;
import org.ragwortpick.config.DataCentreState;

/**
 * Result of an accepted operator request.
 *
 * @param revision revision at which the change is in force
 * @param state state of the data centre, if the request concerns one
 * @param unplaced descriptions of the replicas that the remaining data centres cannot run or, after
 *     an immediate take-out, do not run yet
 */
public record AcceptedChange(
    long revision, Optional<DataCentreState> state, List<String> unplaced) {

  /** Copies the descriptions. */
  public AcceptedChange {
    unplaced = List.copyOf(unplaced);
  }
}
