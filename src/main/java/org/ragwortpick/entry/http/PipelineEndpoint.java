package org.ragwortpick.entry.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.opentelemetry.api.trace.Span;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.ragwortpick.common.Json;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.Pipeline;
import org.ragwortpick.entry.EntryDependencies;
import org.ragwortpick.entry.RequestContext;
import org.ragwortpick.entry.RequestIds;
import org.ragwortpick.entry.RequestResult;
import org.ragwortpick.entry.SerialExecutor;
import org.ragwortpick.entry.StageCost;
import org.ragwortpick.entry.pipeline.PipelineInput;
import org.ragwortpick.entry.pipeline.PipelinePlan;
import org.ragwortpick.entry.pipeline.PipelineRun;
import org.ragwortpick.entry.pipeline.RequestReceiver;
import org.ragwortpick.error.ExecutionOutcome;
import org.ragwortpick.error.RequestError;

/** Endpoint that runs pipelines for callers. */
final class PipelineEndpoint {

  private final EntryDependencies dependencies;
  private final RequestIds ids;
  private final Responder responder;

  /**
   * Creates the endpoint.
   *
   * @param dependencies components that all requests share
   * @param ids generator of request ids
   * @param responder writer of responses
   */
  PipelineEndpoint(EntryDependencies dependencies, RequestIds ids, Responder responder) {
    this.dependencies = dependencies;
    this.ids = ids;
    this.responder = responder;
  }

  /**
   * Runs a pipeline. Must run on the I/O thread of the exchange.
   *
   * @param exchange exchange of the request
   * @param name name of the pipeline
   * @param headers headers of the caller
   * @param body body of the request
   */
  void handle(HttpServerExchange exchange, String name, CallerHeaders headers, byte[] body) {
    Configuration configuration = dependencies.configurationView().current();
    Optional<Pipeline> pipeline = configuration.pipeline(name);
    Either<RequestError, PipelineInput> input = PipelineInput.parse(body);
    Optional<RequestError> refusal = refusal(configuration, name, headers);
    if (refusal.isPresent() || input.isLeft()) {
      responder.sendError(
          exchange, refusal.orElseGet(() -> input.getLeft()), ExecutionOutcome.NOT_RUN, List.of());
      return;
    }
    long deadlineMs =
        headers
            .deadlineMs()
            .orElse(Math.min(pipeline.get().deadlineMs(), dependencies.settings().maxDeadlineMs()));
    Span span = dependencies.tracer().startRequest("pipeline " + name, headers.traceparent());
    RequestContext request =
        new RequestContext(
            ids.next(headers.requestId()),
            headers.workspace(),
            dependencies.clock().millis() + deadlineMs,
            span,
            new SerialExecutor());
    span.setAttribute(Responder.REQUEST_ID_ATTRIBUTE, request.requestId());
    responder.setRequestId(exchange, request);
    PipelinePlan plan =
        new PipelinePlan(configuration, pipeline.get(), input.get(), headers.workspace());
    String accept = exchange.getRequestHeaders().getFirst(Headers.ACCEPT);
    boolean wantsEvents = accept != null && accept.contains("text/event-stream");
    RequestReceiver receiver =
        wantsEvents ? new EventReceiver(exchange, request) : new JsonReceiver(exchange, request);
    PipelineRun run =
        new PipelineRun(
            pipeline.get(),
            plan,
            request,
            dependencies,
            dependencies.policies().admission(),
            receiver);
    CallerConnection.watch(exchange, run::cancel);
    run.start(input.get().input());
  }

  private Optional<RequestError> refusal(
      Configuration configuration, String name, CallerHeaders headers) {
    if (configuration.pipeline(name).isEmpty()) {
      return Optional.of(unknownName("pipeline", name));
    }
    if (configuration.workspace(headers.workspace()).isEmpty()) {
      return Optional.of(unknownName("workspace", headers.workspace()));
    }
    return Optional.empty();
  }

  /** A configuration that is not in force may lack a name that was added since. */
  private RequestError unknownName(String type, String name) {
    return dependencies.configurationView().isInForce()
        ? new RequestError.UnknownName(type, name)
        : new RequestError.NotInForce();
  }

  private static ExecutionOutcome outcome(RequestResult result) {
    if (result.response().isRight()) {
      return ExecutionOutcome.DONE;
    }
    return result.mayHaveRun() ? ExecutionOutcome.UNKNOWN : ExecutionOutcome.NOT_RUN;
  }

  private static ObjectNode costBody(String requestId, List<StageCost> stages) {
    ObjectNode json = Json.MESSAGES.createObjectNode();
    json.put("requestId", requestId);
    json.set("stages", Json.MESSAGES.valueToTree(stages));
    return json;
  }

  private final class JsonReceiver implements RequestReceiver {

    private final HttpServerExchange exchange;
    private final RequestContext request;

    private JsonReceiver(HttpServerExchange exchange, RequestContext request) {
      this.exchange = exchange;
      this.request = request;
    }

    @Override
    public void onToken(int offset, String text) {
      // The result contains the text of all tokens.
    }

    @Override
    public void onEnd(RequestResult result) {
      request.span().end();
      if (result.response().isLeft()) {
        responder.sendError(
            exchange, result.response().getLeft(), outcome(result), result.stages());
        return;
      }
      ObjectNode body = costBody(request.requestId(), result.stages());
      body.set("output", result.response().get().output());
      responder.sendJson(exchange, 200, body);
    }
  }

  private final class EventReceiver implements RequestReceiver {

    private final HttpServerExchange exchange;
    private final RequestContext request;
    private final EventStreamWriter writer;
    private int tokens;

    private EventReceiver(HttpServerExchange exchange, RequestContext request) {
      this.exchange = exchange;
      this.request = request;
      this.writer = new EventStreamWriter(exchange);
    }

    @Override
    public void onToken(int offset, String text) {
      tokens++;
      ObjectNode data = Json.MESSAGES.createObjectNode();
      writer.writeEvent("token", data.put("offset", offset).put("text", text).toString());
    }

    @Override
    public void onEnd(RequestResult result) {
      request.span().end();
      if (result.response().isRight()) {
        ObjectNode done = costBody(request.requestId(), result.stages());
        done.put("tokens", tokens);
        if (tokens == 0) {
          done.set("output", result.response().get().output());
        }
        writer.writeEvent("done", done.toString());
        writer.finish();
      } else if (tokens == 0) {
        responder.sendError(
            exchange, result.response().getLeft(), outcome(result), result.stages());
      } else {
        writer.writeEvent(
            "error",
            Responder.toJson(responder.apiError(result.response().getLeft(), outcome(result))));
        writer.finish();
      }
    }
  }
}
