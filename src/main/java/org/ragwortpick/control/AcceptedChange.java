package org.ragwortpick.control;

import java.util.List;
import java.util.Optional;
import org.ragwortpick.config.DataCentreState;

/**
 * Answer to an accepted operator request.
 *
 * @param revision revision at which the change is in force
 * @param state state of the data centre, if the request concerns one
 * @param unplaced what the remaining data centres cannot run, one text each
 */
public record AcceptedChange(
    long revision, Optional<DataCentreState> state, List<String> unplaced) {

  /** Copies the texts. */
  public AcceptedChange {
    unplaced = List.copyOf(unplaced);
  }
}
