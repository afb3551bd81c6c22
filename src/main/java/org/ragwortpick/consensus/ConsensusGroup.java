package org.ragwortpick.consensus;

import io.vavr.control.Either;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;

/** One replicated log with its state machine, as seen by the modules that use it. */
public interface ConsensusGroup {

  /**
   * Time after {@link #confirmedAtMs} for which no other replica can be elected, so that the leader
   * may answer reads from its own state. Shorter than the lowest election timeout, 500 ms, by more
   * than the bound of clock drift, 1%.
   */
  long LEADER_LEASE_MS = 400;

  /**
   * Proposes a command. The stage completes after the command is committed on the disks of a quorum
   * and applied to the local state machine. Its callbacks run on the thread of the group and must
   * not block.
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

  /**
   * Moves a vote from one VM to another. The new voter is added once it has caught up, then the old
   * one is removed, each as a separate step. A replaced disk of the same VM needs no such request.
   *
   * @param oldVm VM that gives up its vote; its later requests to join are ignored
   * @param newVm VM that takes its place; it must be a control VM of the settings and run
   * @param timeoutMs time after which the request is given up
   * @return the index of the last step, or the reason for which there is none
   */
  CompletionStage<Either<ConsensusError, Applied>> replaceMember(
      String oldVm, String newVm, long timeoutMs);

  /**
   * Returns the state of the local replica.
   *
   * @return state after the last event that the replica handled
   */
  GroupStatus status();
}
