package org.ragwortpick.entry.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.ragwortpick.common.Json;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.Pipeline;
import org.ragwortpick.config.Service;
import org.ragwortpick.config.ServiceKind;
import org.ragwortpick.config.Stage;

/** Plan of a pipeline of the inventory. */
public final class PipelinePlan implements StageTaskFactory {

  /** Path of requests with a JSON response. */
  public static final String EXECUTE_PATH = "/v1/execute";

  /** Path of requests whose response is a stream of tokens. */
  public static final String GENERATE_PATH = "/v1/generate";

  /**
   * Length of the prompt prefix that selects an engine. Engines cache prompt prefixes, and requests
   * with the same start can share one.
   */
  private static final int HASHED_PREFIX_CHARS = 256;

  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private final Configuration configuration;
  private final Pipeline pipeline;
  private final PipelineInput input;
  private final int priority;

  /**
   * Creates a plan.
   *
   * @param configuration configuration in force at the start of the request
   * @param pipeline the pipeline
   * @param input body of the request
   * @param workspace workspace of the caller
   */
  public PipelinePlan(
      Configuration configuration, Pipeline pipeline, PipelineInput input, String workspace) {
    this.configuration = configuration;
    this.pipeline = pipeline;
    this.input = input;
    List<String> order = configuration.rules().workspaceOrder();
    int position = order.indexOf(workspace);
    this.priority = position < 0 ? order.size() : position;
  }

  /**
   * Tells whether a stage generates a stream of tokens.
   *
   * @param index index of the stage
   * @return true for a stage on an engine
   */
  public boolean generates(int index) {
    return configuration
        .service(pipeline.stages().get(index).service())
        .map(Service::kind)
        .filter(kind -> kind == ServiceKind.ENGINE)
        .isPresent();
  }

  @Override
  public StageTask createTask(int index, JsonNode stageInput) {
    Stage stage = pipeline.stages().get(index);
    boolean generates = generates(index);
    return new StageTask(
        stage.name(),
        stage.service(),
        generates ? GENERATE_PATH : EXECUTE_PATH,
        generates,
        !configuration.isNonIdempotent(stage.service()),
        false,
        generates ? prefixHash(input.prompt()) : 0,
        generates
            ? (offset, text) -> generateBody(stage, stageInput, offset, text)
            : (offset, text) -> executeBody(stageInput));
  }

  private byte[] executeBody(JsonNode stageInput) {
    ObjectNode body = Json.MESSAGES.createObjectNode();
    body.set("input", stageInput);
    return bytes(body);
  }

  private byte[] generateBody(Stage stage, JsonNode stageInput, int offset, String text) {
    ObjectNode body = Json.MESSAGES.createObjectNode();
    body.set("input", stageInput);
    body.put("prompt", input.prompt());
    body.put("maxTokens", maxTokens(stage));
    body.put("priority", priority);
    if (offset > 0) {
      body.put("resumeOffset", offset);
      body.put("resumeText", text);
    }
    return bytes(body);
  }

  private int maxTokens(Stage stage) {
    if (input.maxTokens() == 0) {
      return stage.maxTokens();
    }
    return stage.maxTokens() == 0
        ? input.maxTokens()
        : Math.min(stage.maxTokens(), input.maxTokens());
  }

  private static byte[] bytes(ObjectNode body) {
    return body.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static long prefixHash(String prompt) {
    if (prompt.isEmpty()) {
      return 0;
    }
    long hash = FNV_OFFSET_BASIS;
    for (int i = 0; i < Math.min(HASHED_PREFIX_CHARS, prompt.length()); i++) {
      hash = (hash ^ prompt.charAt(i)) * FNV_PRIME;
    }
    return hash == 0 ? 1 : hash;
  }
}
