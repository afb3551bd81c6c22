package org.ragwortpick.error;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * Error as it is sent to callers and operators.
 *
 * @param status HTTP status
 * @param error kind of the error, stable over releases
 * @param message what is wrong
 * @param remedy what the receiver can do next
 * @param execution what is known about the execution of the request
 * @param addresses caller addresses to try next, best first; empty if trying elsewhere cannot help
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
