package org.ragwortpick.consensus;

import io.vavr.control.Either;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;

/** Local replica of one replicated log and its state machine, as used by other modules. */
public interface ConsensusGroup {

  /**
   * Time after {@link #confirmedAtMs} for which no other replica can be elected, so that the leader
   * may serve reads from its own state. Shorter than the minimum election timeout, 500 ms, by more
   * than the maximum clock drift, 1%.
   */
  long LEADER_LEASE_MS = 400;

  /**
   * Proposes a command. The returned stage completes after the command is durable on a quorum and
   * applied to the local state machine. Callbacks run on the thread of the group and must not
   * block.
   *
   * @param command the encoded command
   * @return the result, or the reason why the command was not applied
   */
  CompletionStage<Either<ConsensusError, AppliedEntry>> propose(byte[] command);

  /**
   * Returns the leadership of the current term.
   *
   * @return leadership as known to the local replica
   */
  Leadership leadership();

  /**
   * Returns the last time at which a quorum confirmed the local replica as leader: the time at
   * which the latest round of heartbeats acknowledged by a quorum was sent.
   *
   * @return local monotonic time in milliseconds; empty if the replica is not the leader or has not
   *     applied an entry of its own term
   */
  OptionalLong confirmedAtMs();

  /**
   * Replaces a voter by another VM. The new voter is added once it has caught up, then the old one
   * is removed, in two separate membership changes. A replaced disk of the same VM needs no such
   * request.
   *
   * @param oldVm VM whose voter is removed; its later join requests are ignored
   * @param newVm VM of the new voter, which must be a running control VM of the settings
   * @param timeoutMs time after which the request is cancelled
   * @return the commit index after the last change, or the reason why the voter was not replaced
   */
  CompletionStage<Either<ConsensusError, AppliedEntry>> replaceMember(
      String oldVm, String newVm, long timeoutMs);

  /**
   * Returns the status of the local replica.
   *
   * @return status after the last event that the replica handled
   */
  GroupStatus status();
}
