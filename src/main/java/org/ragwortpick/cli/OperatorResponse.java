package org.ragwortpick.cli;

/**
 * Response of the administration API.
 *
 * @param status HTTP status
 * @param body JSON body
 */
record OperatorResponse(int status, String body) {

  private static final int FIRST_ERROR_STATUS = 400;

  /**
   * Tells whether the request was refused or failed.
   *
   * @return true for a status of 400 or more
   */
  boolean isError() {
    return status >= FIRST_ERROR_STATUS;
  }
}
