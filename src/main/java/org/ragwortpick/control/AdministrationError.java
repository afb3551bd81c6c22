package org.ragwortpick.control;

import java.util.List;
import java.util.Optional;

/** Reason why an operator request was not accepted. */
public sealed interface AdministrationError {

  /**
   * Describes the error and its remedy to operators.
   *
   * @return the message
   */
  String message();

  /**
   * The local replica is not the leader; nothing was changed.
   *
   * @param leaderVm name of the leader VM, if known
   */
  record NotLeader(Optional<String> leaderVm) implements AdministrationError {
    @Override
    public String message() {
      return leaderVm
          .map(vm -> "this VM is not the leader; send the request to " + vm)
          .orElse("no leader is known; resend the request in a second");
    }
  }

  /** No leader replied before the timeout; the request may or may not have been accepted. */
  record OutcomeUnknown() implements AdministrationError {
    @Override
    public String message() {
      return "the outcome of the request is unknown; resend it with the same request id";
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
          + " and resend the proposal based on it with a new request id";
    }
  }

  /**
   * The request is not valid; nothing was changed.
   *
   * @param findings all validation errors, each with its remedy
   */
  record Invalid(List<String> findings) implements AdministrationError {

    /**
     * Copies the findings.
     *
     * @param findings all validation errors
     */
    public Invalid {
      findings = List.copyOf(findings);
    }

    @Override
    public String message() {
      return String.join("\n", findings);
    }
  }

  /**
   * A rollout to another version is running for the service; nothing was changed.
   *
   * @param to version of the running rollout
   */
  record RolloutRunning(String to) implements AdministrationError {
    @Override
    public String message() {
      return "a rollout of the service to version " + to + " is running; wait until it has ended";
    }
  }

  /** The request id was already used for another request. */
  record RequestIdReused() implements AdministrationError {
    @Override
    public String message() {
      return "this request id belongs to another request; choose a new one";
    }
  }
}
