package org.ragwortpick.entry.pipeline;

import com.fasterxml.jackson.databind.JsonNode;

/** Source of the work of each stage of a request. */
public interface StagePlan {

  /**
   * Returns the work of a stage.
   *
   * @param index index of the stage
   * @param input output of the previous stage, or the input of the request for the first one
   * @return the work
   */
  StageTask task(int index, JsonNode input);
}
