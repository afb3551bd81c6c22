package org.ragwortpick.admin;

import java.util.List;
import org.ragwortpick.control.AdministrationError;
import org.ragwortpick.error.ApiError;
import org.ragwortpick.error.ExecutionOutcome;

/** Creates the error responses of the administration API. */
final class AdminErrors {

  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;

  private AdminErrors() {}

  /**
   * Creates the error for an unknown path or method.
   *
   * @param path path of the request
   * @return the error
   */
  static ApiError pathNotFound(String path) {
    return new ApiError(
        NOT_FOUND,
        "unknown_path",
        "there is no resource " + path + " for this method",
        "see the operators' page for the paths of the administration API",
        ExecutionOutcome.NOT_RUN,
        List.of());
  }

  /**
   * Creates the error for an invalid request body.
   *
   * @param detail description of the problem and its remedy
   * @return the error
   */
  static ApiError invalidBody(String detail) {
    return new ApiError(
        BAD_REQUEST,
        "invalid_request",
        detail,
        "correct the request and send it again",
        ExecutionOutcome.NOT_RUN,
        List.of());
  }

  /**
   * Creates the error for a request that the leader did not accept.
   *
   * @param error error reported by the administration
   * @return the error
   */
  static ApiError fromAdministrationError(AdministrationError error) {
    return switch (errorCode(error)) {
      case "conflict", "request_id_reused" -> notExecuted(error, CONFLICT);
      case "invalid_request" -> notExecuted(error, BAD_REQUEST);
      case "no_leader" -> notExecuted(error, UNAVAILABLE);
      default -> outcomeUnknown(error);
    };
  }

  private static String errorCode(AdministrationError error) {
    if (error instanceof AdministrationError.Conflict) {
      return "conflict";
    }
    if (error instanceof AdministrationError.RequestIdReused) {
      return "request_id_reused";
    }
    if (error instanceof AdministrationError.Invalid) {
      return "invalid_request";
    }
    return error instanceof AdministrationError.NotLeader ? "no_leader" : "outcome_unknown";
  }

  private static ApiError notExecuted(AdministrationError error, int status) {
    return new ApiError(
        status,
        errorCode(error),
        error.message(),
        "nothing was changed; correct the request",
        ExecutionOutcome.NOT_RUN,
        List.of());
  }

  private static ApiError outcomeUnknown(AdministrationError error) {
    return new ApiError(
        UNAVAILABLE,
        errorCode(error),
        error.message(),
        "send the request again under the same request id",
        ExecutionOutcome.UNKNOWN,
        List.of());
  }
}
