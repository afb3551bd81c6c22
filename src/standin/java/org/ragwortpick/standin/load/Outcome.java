package org.ragwortpick.standin.load;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * End of one request as the caller saw it.
 *
 * @param status HTTP status; 0 if no answer arrived
 * @param body answer; a missing node if none arrived
 * @param execution what the answer says about the execution; empty if it says nothing
 */
public record Outcome(int status, JsonNode body, String execution) {

  private static final int OK = 200;

  /**
   * Tells whether the request was answered.
   *
   * @return true for status 200
   */
  boolean isAnswered() {
    return status == OK;
  }

  /**
   * Tells whether the caller may send the request again elsewhere although it must not run twice.
   *
   * @return true if the answer says that nothing was run
   */
  boolean isNotRun() {
    return execution.equals("not_run");
  }
}
