package org.ragwortpick.entry.call;

import io.vavr.control.Either;
import org.ragwortpick.entry.StageCost;
import org.ragwortpick.error.ExecutionOutcome;
import org.ragwortpick.error.RequestError;

/**
 * Result of a non-idempotent call as reported to the caller.
 *
 * @param response the response of the service, or the error that the caller receives
 * @param execution whether the call was executed, as far as known
 * @param cost cost of the call on this VM
 */
public record CallResult(
    Either<RequestError, RecordedResponse> response, ExecutionOutcome execution, StageCost cost) {}
