package org.ragwortpick.control;

import java.util.List;
import java.util.Optional;

/** Reason for which an operator request was not accepted. */
public sealed interface AdministrationError {

  /**
   * Message for operators that names the remedy.
   *
   * @return the message
   */
  String message();

  /**
   * The local replica does not lead; nothing was changed.
   *
   * @param leaderVm name of the VM that leads, if known
   */
  record NotLeader(Optional<String> leaderVm) implements AdministrationError {
    @Override
    public String message() {
      return leaderVm
          .map(vm -> "this VM is not the leader; send the request to " + vm)
          .orElse("no leader is known; send the request again in a second");
    }
  }

  /** No leader answered in time; the request may or may not have been accepted. */
  record OutcomeUnknown() implements AdministrationError {
    @Override
    public String message() {
      return "the outcome of the request is not known; send it again with the same request id";
    }
  }

  /**
   * The base revision is not the current one.
   *
   * @param currentRevision revision at the time of the request
   */
  record Conflict(long currentRevision) implements AdministrationError {
    @Override
    public String message() {
      return "the configuration has changed; read revision "
          + currentRevision
          + " and propose again on it with a new request id";
    }
  }

  /**
   * The request is not valid; nothing was changed.
   *
   * @param findings all faults, each with its remedy
   */
  record Invalid(List<String> findings) implements AdministrationError {

    /**
     * Copies the findings.
     *
     * @param findings all faults
     */
    public Invalid {
      findings = List.copyOf(findings);
    }

    @Override
    public String message() {
      return String.join("\n", findings);
    }
  }

  /** The request id was used for another request. */
  record RequestIdReused() implements AdministrationError {
    @Override
    public String message() {
      return "this request id belongs to another request; choose a new one";
    }
  }
}
