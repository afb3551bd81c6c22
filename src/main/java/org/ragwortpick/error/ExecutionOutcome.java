package org.ragwortpick.error;

import com.fasterxml.jackson.annotation.JsonValue;

/** What a caller is told about the execution of its request. */
public enum ExecutionOutcome {
  /** The request was not run and will not be run. */
  NOT_RUN("not_run"),
  /** The request may or may not have run; the caller asks for the status with its key. */
  UNKNOWN("unknown"),
  /** The request ran. */
  DONE("done");

  private final String text;

  ExecutionOutcome(String text) {
    this.text = text;
  }

  /**
   * Returns the text used in answers.
   *
   * @return the text
   */
  @JsonValue
  public String text() {
    return text;
  }
}
