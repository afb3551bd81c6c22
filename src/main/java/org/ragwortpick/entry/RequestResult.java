package org.ragwortpick.entry;

import io.vavr.control.Either;
import java.util.List;
import org.ragwortpick.entry.pipeline.StageResponse;
import org.ragwortpick.error.RequestError;

/**
 * Result of a request.
 *
 * @param response response of the last stage, or the error that ended the request
 * @param stages cost of each stage that ran
 * @param mayHaveRun whether an upstream may have run any part of the request
 */
public record RequestResult(
    Either<RequestError, StageResponse> response, List<StageCost> stages, boolean mayHaveRun) {

  /** Makes a defensive copy of the stages. */
  public RequestResult {
    stages = List.copyOf(stages);
  }
}
