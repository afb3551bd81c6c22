package org.ragwortpick.error;

import java.util.List;

/** Conversion of request errors into the form that callers receive. */
public final class RequestErrors {

  private RequestErrors() {}

  /**
   * Converts an error.
   *
   * @param error the error
   * @param execution what is known about the execution of the request
   * @param addresses caller addresses to try next; used only if trying elsewhere can help
   * @return the error as it is sent
   */
  public static ApiError toApiError(
      RequestError error, ExecutionOutcome execution, List<String> addresses) {
    RequestErrorMessages.Text text = RequestErrorMessages.of(error);
    return new ApiError(
        text.status(),
        kind(error),
        text.message(),
        text.remedy(),
        execution,
        helpsElsewhere(error) ? addresses : List.of());
  }

  /**
   * Returns the stable name of an error kind.
   *
   * @param error the error
   * @return the simple name of its type
   */
  public static String kind(RequestError error) {
    return error.getClass().getSimpleName();
  }

  private static boolean helpsElsewhere(RequestError error) {
    return error instanceof RequestError.NotInForce
        || error instanceof RequestError.Draining
        || error instanceof RequestError.Overloaded
        || error instanceof RequestError.CallNotRun
        || error instanceof RequestError.NoUpstream;
  }
}
