package org.ragwortpick.entry;

import io.vavr.control.Either;
import java.util.List;
import org.ragwortpick.entry.pipeline.StageAnswer;
import org.ragwortpick.error.RequestError;

/**
 * End of a request.
 *
 * @param answer answer of the last stage, or why there is none
 * @param stages cost of the stages that ran
 * @param sent whether an upstream may have run any part of the request
 */
public record RequestResult(
    Either<RequestError, StageAnswer> answer, List<StageCost> stages, boolean sent) {

  /** Copies the stages. */
  public RequestResult {
    stages = List.copyOf(stages);
  }
}
