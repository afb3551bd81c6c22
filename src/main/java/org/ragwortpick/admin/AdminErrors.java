package org.ragwortpick.admin;

import java.util.List;
import org.ragwortpick.control.AdministrationError;
import org.ragwortpick.error.ApiError;
import org.ragwortpick.error.ExecutionOutcome;

/** Errors of the administration API. */
final class AdminErrors {

  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;

  private AdminErrors() {}

  /**
   * Error for a path that does not exist.
   *
   * @param path path of the request
   * @return the error
   */
  static ApiError unknownPath(String path) {
    return new ApiError(
        NOT_FOUND,
        "unknown_path",
        "there is no resource " + path + " with this method",
        "see the operators' page for the paths of the administration API",
        ExecutionOutcome.NOT_RUN,
        List.of());
  }

  /**
   * Error for a body that cannot be used.
   *
   * @param detail what is wrong, with its remedy
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
   * Error for a request that the leader did not accept.
   *
   * @param error reason
   * @return the error
   */
  static ApiError of(AdministrationError error) {
    return switch (kindOf(error)) {
      case "conflict", "request_id_reused" -> refused(error, CONFLICT);
      case "invalid_request" -> refused(error, BAD_REQUEST);
      case "no_leader" -> refused(error, UNAVAILABLE);
      default -> unknown(error);
    };
  }

  private static String kindOf(AdministrationError error) {
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

  private static ApiError refused(AdministrationError error, int status) {
    return new ApiError(
        status,
        kindOf(error),
        error.message(),
        "nothing was changed; correct the request",
        ExecutionOutcome.NOT_RUN,
        List.of());
  }

  private static ApiError unknown(AdministrationError error) {
    return new ApiError(
        UNAVAILABLE,
        kindOf(error),
        error.message(),
        "send the request again under the same request id",
        ExecutionOutcome.UNKNOWN,
        List.of());
  }
}
