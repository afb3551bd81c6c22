package org.ragwortpick.error;

import com.fasterxml.jackson.annotation.JsonValue;

/** Execution outcome of a request as reported to its caller. */
public enum ExecutionOutcome {
  /** The request was not run and will not be run. */
  NOT_RUN("not_run"),
  /** The request may or may not have run; the caller can query the status by idempotency key. */
  UNKNOWN("unknown"),
  /** The request ran. */
  DONE("done");

  private final String text;

  ExecutionOutcome(String text) {
    this.text = text;
  }

  /**
   * Returns the value used in responses.
   *
   * @return the value
   */
  @JsonValue
  public String text() {
    return text;
  }
}
