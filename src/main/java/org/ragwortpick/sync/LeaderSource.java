package org.ragwortpick.sync;

import java.util.Optional;
import java.util.OptionalLong;
import org.ragwortpick.config.Configuration;

/** Committed configuration and leadership of the local control replica. */
public interface LeaderSource {

  /**
   * Tells whether the local replica leads.
   *
   * @return true if it leads
   */
  boolean isLeader();

  /**
   * Returns the current term.
   *
   * @return the term; 0 if the VM has no replica
   */
  long term();

  /**
   * Returns the leader VM.
   *
   * @return name of the VM, or empty if it is unknown
   */
  Optional<String> leaderVm();

  /**
   * Returns the time at which a quorum last confirmed the local replica as leader.
   *
   * @return local monotonic time in milliseconds; empty if the replica does not lead
   */
  OptionalLong confirmedAtMs();

  /**
   * Returns the committed configuration.
   *
   * @return the configuration
   */
  Configuration configuration();

  /**
   * Returns the changes from a revision to the committed one.
   *
   * @param revision revision of the receiver; 0 if it has none
   * @return the changes, or a snapshot if they are no longer stored
   */
  ConfigurationDelta deltaSince(long revision);
}
