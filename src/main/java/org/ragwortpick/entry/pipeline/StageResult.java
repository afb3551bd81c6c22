package org.ragwortpick.entry.pipeline;

import io.vavr.control.Either;
import org.ragwortpick.entry.StageCost;
import org.ragwortpick.error.RequestError;

/**
 * Result of a stage.
 *
 * @param response the response, or the error that ended the stage
 * @param cost cost of the stage
 * @param mayHaveRun whether an upstream may have run the stage
 */
public record StageResult(
    Either<RequestError, StageResponse> response, StageCost cost, boolean mayHaveRun) {}
