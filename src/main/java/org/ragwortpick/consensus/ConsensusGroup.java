package org.ragwortpick.consensus;

import io.vavr.control.Either;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;

/** One replicated log with its state machine, as seen by the modules that use it. */
public interface ConsensusGroup {

  /**
   * Proposes a command. The stage completes after the command is committed on the disks of a quorum
   * and applied to the local state machine.
   *
   * @param command the command
   * @return the result, or the reason for which there is none
   */
  CompletionStage<Either<ConsensusError, Applied>> propose(byte[] command);

  /**
   * Returns the role of the local replica.
   *
   * @return role, term and leader as the replica knows them
   */
  Leadership leadership();

  /**
   * Returns the last time at which a quorum confirmed the local replica as leader, which is the
   * time at which the acknowledged round of heartbeats was sent.
   *
   * @return local monotonic time in milliseconds; empty if the replica does not lead or has not
   *     applied an entry of its own term
   */
  OptionalLong confirmedAtMs();
}
