package org.ragwortpick.error;

import java.util.List;

/** Converts request errors into the error responses sent to callers. */
public final class RequestErrors {

  private RequestErrors() {}

  /**
   * Converts an error.
   *
   * @param error the error
   * @param execution execution outcome of the request, as far as known
   * @param addresses caller addresses to try next; included only if another VM may accept the
   *     request
   * @return the error response
   */
  public static ApiError toApiError(
      RequestError error, ExecutionOutcome execution, List<String> addresses) {
    RequestErrorMessages.Description description = RequestErrorMessages.describe(error);
    return new ApiError(
        description.status(),
        kind(error),
        description.message(),
        description.remedy(),
        execution,
        mayBeAcceptedByAnotherVm(error) ? addresses : List.of());
  }

  /**
   * Returns the error code, which is stable across releases.
   *
   * @param error the error
   * @return the simple name of its type
   */
  public static String kind(RequestError error) {
    return error.getClass().getSimpleName();
  }

  private static boolean mayBeAcceptedByAnotherVm(RequestError error) {
    return error instanceof RequestError.NotInForce
        || error instanceof RequestError.Draining
        || error instanceof RequestError.Overloaded
        || error instanceof RequestError.CallNotRun
        || error instanceof RequestError.NoUpstream;
  }
}
