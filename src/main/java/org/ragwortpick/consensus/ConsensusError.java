package org.ragwortpick.consensus;

import java.util.Optional;

/** Reason for which a proposal was not applied by the local replica. */
public sealed interface ConsensusError {

  /**
   * Describes the error to operators.
   *
   * @return message that names the remedy
   */
  String message();

  /**
   * The local replica is not the leader; the command was not appended.
   *
   * @param leaderVm name of the VM that leads, if known
   */
  record NotLeader(Optional<String> leaderVm) implements ConsensusError {
    @Override
    public String message() {
      return leaderVm
          .map(vm -> "this VM is not the leader; send the request to " + vm)
          .orElse("no leader is known; retry in a second");
    }
  }

  /** Leadership was lost after the command was appended; it may or may not be applied later. */
  record OutcomeUnknown() implements ConsensusError {
    @Override
    public String message() {
      return "leadership was lost before the commit; resend under the same request id";
    }
  }

  /**
   * The replica rejects proposals because its disk failed; the command was not appended.
   *
   * @param detail cause of the failure
   */
  record StorageFailed(String detail) implements ConsensusError {
    @Override
    public String message() {
      return "the data folder cannot be written (" + detail + "); free space or replace the disk";
    }
  }

  /** Too many bytes are uncommitted; the command was not appended. */
  record Overloaded() implements ConsensusError {
    @Override
    public String message() {
      return "too many changes wait for the disks of a quorum; retry in a second";
    }
  }

  /**
   * A membership change cannot be made.
   *
   * @param detail reason and remedy
   */
  record ChangeRefused(String detail) implements ConsensusError {
    @Override
    public String message() {
      return detail;
    }
  }
}
