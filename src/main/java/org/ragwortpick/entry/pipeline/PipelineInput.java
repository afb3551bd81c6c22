package org.ragwortpick.entry.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import io.vavr.control.Either;
import java.io.IOException;
import org.ragwortpick.common.Json;
import org.ragwortpick.error.RequestError;

/**
 * Body of a pipeline request.
 *
 * @param input input of the first stage
 * @param prompt prompt of the generating stages; empty if there is none
 * @param maxTokens largest number of tokens that a generating stage may produce; 0 for the limit of
 *     the stage
 */
public record PipelineInput(JsonNode input, String prompt, int maxTokens) {

  /**
   * Parses a body.
   *
   * @param body JSON body
   * @return the input, or an error that states why the body is not valid
   */
  public static Either<RequestError, PipelineInput> parse(byte[] body) {
    JsonNode json;
    try {
      json = Json.MESSAGES.readTree(body);
    } catch (IOException e) {
      return malformed("the body is not JSON");
    }
    if (json == null || !json.isObject()) {
      return malformed("the body is not a JSON object");
    }
    JsonNode prompt = json.path("prompt");
    if (!prompt.isMissingNode() && !prompt.isTextual()) {
      return malformed("the field prompt is not a string");
    }
    JsonNode maxTokens = json.path("maxTokens");
    if (!maxTokens.isMissingNode() && !(maxTokens.isInt() && maxTokens.intValue() > 0)) {
      return malformed("the field maxTokens is not a positive integer");
    }
    JsonNode input = json.has("input") ? json.get("input") : NullNode.getInstance();
    return Either.right(new PipelineInput(input, prompt.asText(""), maxTokens.asInt(0)));
  }

  private static Either<RequestError, PipelineInput> malformed(String detail) {
    return Either.left(new RequestError.Malformed(detail));
  }
}
