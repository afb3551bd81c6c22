package org.ragwortpick.entry.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Optional;
import java.util.function.Consumer;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.Json;
import org.ragwortpick.entry.upstream.AttemptId;
import org.ragwortpick.entry.upstream.ServerSentEvent;
import org.ragwortpick.entry.upstream.UpstreamClient;
import org.ragwortpick.entry.upstream.UpstreamEnd;
import org.ragwortpick.entry.upstream.UpstreamHead;
import org.ragwortpick.entry.upstream.UpstreamListener;
import org.ragwortpick.entry.upstream.UpstreamRequest;

/**
 * Pipeline client without the checks under test: retries after any failure, joins all tokens that
 * arrive, and does not check attempt ids.
 */
final class NaivePipeline {

  private static final int MAX_ATTEMPTS = 4;

  private final UpstreamClient client;
  private final String requestId;
  private final Consumer<Optional<String>> receiver;
  private final StringBuilder text = new StringBuilder();
  private int tokens;
  private int attempts;
  private int stage;
  private String input;
  private boolean finished;

  NaivePipeline(UpstreamClient client, String requestId, Consumer<Optional<String>> receiver) {
    this.client = client;
    this.requestId = requestId;
    this.receiver = receiver;
  }

  void start(String callerInput) {
    input = callerInput;
    send();
  }

  private void send() {
    if (attempts++ == MAX_ATTEMPTS) {
      finish(Optional.empty());
      return;
    }
    String resume = tokens == 0 ? "" : ",\"resumeOffset\":" + tokens;
    client.send(
        new UpstreamRequest(
            new HostPort(stage == 0 ? "10.0.7.1" : "10.0.6.1", 80),
            stage == 0 ? "/v1/execute" : "/v1/generate",
            new AttemptId(requestId, "s", 1),
            3_000,
            "",
            ("{\"input\":\"" + input + "\"" + resume + "}").getBytes(),
            stage == 1,
            false,
            300,
            () -> true),
        new Listener(stage));
  }

  private void finish(Optional<String> result) {
    if (!finished) {
      finished = true;
      receiver.accept(result);
    }
  }

  private final class Listener implements UpstreamListener {

    private final int ownStage;

    private Listener(int ownStage) {
      this.ownStage = ownStage;
    }

    @Override
    public void onHead(UpstreamHead head) {
      // The attempt id of the response is not checked.
    }

    @Override
    public void onEvent(ServerSentEvent event) {
      if (event.name().equals("done")) {
        finish(Optional.of(text.toString()));
      } else {
        tokens++;
        text.append(json(event.data()).path("text").asText());
      }
    }

    @Override
    public void onEnd(UpstreamEnd end) {
      if (finished || ownStage != stage) {
        return;
      }
      if (stage == 0
          && end instanceof UpstreamEnd.Answered answered
          && json(new String(answered.body())).has("output")) {
        input = json(new String(answered.body())).get("output").asText();
        stage = 1;
        attempts = 0;
      }
      send();
    }

    private JsonNode json(String data) {
      try {
        return Json.MESSAGES.readTree(data);
      } catch (IOException e) {
        return Json.MESSAGES.createObjectNode();
      }
    }
  }
}
