package org.ragwortpick.entry.pipeline;

import io.vavr.control.Either;
import org.ragwortpick.entry.StageCost;
import org.ragwortpick.error.RequestError;

/**
 * End of a stage.
 *
 * @param response the answer, or why there is none
 * @param cost cost of the stage
 * @param mayHaveRun whether an upstream may have run the stage
 */
public record StageResult(
    Either<RequestError, StageAnswer> response, StageCost cost, boolean mayHaveRun) {}
