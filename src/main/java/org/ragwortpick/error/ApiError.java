package org.ragwortpick.error;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * Error response sent to callers and operators.
 *
 * @param status HTTP status
 * @param error error code, stable across releases
 * @param message description of the error
 * @param remedy suggested action for the receiver
 * @param execution execution outcome of the request, as far as known
 * @param addresses caller addresses to try next, best first; empty if another VM would fail as well
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record ApiError(
    @JsonIgnore int status,
    String error,
    String message,
    String remedy,
    ExecutionOutcome execution,
    List<String> addresses) {

  /** Copies the addresses. */
  public ApiError {
    addresses = List.copyOf(addresses);
  }
}
