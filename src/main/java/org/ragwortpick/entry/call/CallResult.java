package org.ragwortpick.entry.call;

import io.vavr.control.Either;
import org.ragwortpick.entry.StageCost;
import org.ragwortpick.error.ExecutionOutcome;
import org.ragwortpick.error.RequestError;

/**
 * What the caller of a non-idempotent call is told.
 *
 * @param response the answer, or why there is none
 * @param execution what is known about the execution
 * @param cost cost of the call on this VM
 */
public record CallResult(
    Either<RequestError, RecordedAnswer> response, ExecutionOutcome execution, StageCost cost) {}
