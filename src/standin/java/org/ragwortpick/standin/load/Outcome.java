package org.ragwortpick.standin.load;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Outcome of one request as its caller observed it.
 *
 * @param status HTTP status; 0 if no response arrived
 * @param body body of the response; a missing node if none arrived
 * @param execution what is known about the execution, such as {@code not_run}; empty if nothing is
 *     known
 */
public record Outcome(int status, JsonNode body, String execution) {

  private static final int OK = 200;

  /**
   * Tells whether the request succeeded.
   *
   * @return true for status 200
   */
  boolean isOk() {
    return status == OK;
  }

  /**
   * Tells whether the request was certainly not executed, so that even a non-idempotent call may be
   * sent again.
   *
   * @return true if the response or a refused connection shows that nothing was executed
   */
  boolean isNotRun() {
    return execution.equals("not_run");
  }
}
