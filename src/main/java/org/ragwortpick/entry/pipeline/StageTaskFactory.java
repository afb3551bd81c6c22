package org.ragwortpick.entry.pipeline;

import com.fasterxml.jackson.databind.JsonNode;

/** Creates the tasks of the stages of a request. */
public interface StageTaskFactory {

  /**
   * Creates the task of a stage.
   *
   * @param index index of the stage
   * @param input output of the previous stage, or the input of the request for the first one
   * @return the task
   */
  StageTask createTask(int index, JsonNode input);
}
