package org.ragwortpick.entry.http;

import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.ragwortpick.common.Json;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.Pipeline;
import org.ragwortpick.config.Stage;
import org.ragwortpick.entry.EntryDependencies;
import org.ragwortpick.entry.RequestContext;
import org.ragwortpick.entry.RequestIds;
import org.ragwortpick.entry.RequestResult;
import org.ragwortpick.entry.SerialExecutor;
import org.ragwortpick.entry.call.CallRequest;
import org.ragwortpick.entry.call.CallResult;
import org.ragwortpick.entry.call.NonIdempotentCall;
import org.ragwortpick.entry.pipeline.PipelinePlan;
import org.ragwortpick.entry.pipeline.PipelineRun;
import org.ragwortpick.entry.pipeline.RequestReceiver;
import org.ragwortpick.entry.pipeline.StageTask;
import org.ragwortpick.error.ExecutionOutcome;
import org.ragwortpick.error.RequestError;
import org.ragwortpick.ledger.ExecutionKey;
import org.ragwortpick.ledger.ExecutionLedger;
import org.ragwortpick.ledger.ExecutionRecord;
import org.ragwortpick.ledger.ExecutionState;

/** Endpoint that runs service calls for callers and reports the state of non-idempotent ones. */
final class ServiceEndpoint {

  private final EntryDependencies dependencies;
  private final ExecutionLedger ledger;
  private final RequestIds ids;
  private final String vm;
  private final Responder responder;

  /**
   * Creates the endpoint.
   *
   * @param dependencies components that all requests share
   * @param ledger ledger of the execution records
   * @param ids generator of request ids
   * @param vm name of the local VM
   * @param responder writer of responses
   */
  ServiceEndpoint(
      EntryDependencies dependencies,
      ExecutionLedger ledger,
      RequestIds ids,
      String vm,
      Responder responder) {
    this.dependencies = dependencies;
    this.ledger = ledger;
    this.ids = ids;
    this.vm = vm;
    this.responder = responder;
  }

  /**
   * Runs a call. Must run on the I/O thread of the exchange.
   *
   * @param exchange exchange of the request
   * @param service name of the service
   * @param headers headers of the caller
   * @param body body of the request
   */
  void handle(HttpServerExchange exchange, String service, CallerHeaders headers, byte[] body) {
    Configuration configuration = dependencies.configurationView().current();
    boolean hasKey = !headers.idempotencyKey().isEmpty();
    Optional<RequestError> refusal = refusal(configuration, service, headers);
    if (refusal.isPresent()) {
      // An earlier call with this key may have run while the name was still in the inventory.
      responder.sendError(
          exchange,
          refusal.get(),
          hasKey ? ExecutionOutcome.UNKNOWN : ExecutionOutcome.NOT_RUN,
          List.of());
      return;
    }
    long deadlineMs = headers.deadlineMs().orElse(dependencies.settings().defaultCallDeadlineMs());
    RequestContext request =
        new RequestContext(
            ids.next(headers.requestId()),
            headers.workspace(),
            dependencies.clock().millis() + deadlineMs,
            dependencies.tracer().startRequest("service " + service, headers.traceparent()),
            new SerialExecutor());
    request.span().setAttribute(Responder.REQUEST_ID_ATTRIBUTE, request.requestId());
    responder.setRequestId(exchange, request);
    // The service may have become non-idempotent in a revision that this VM has not received.
    boolean mayBeNonIdempotent =
        !dependencies.configurationView().isInForce() && !headers.idempotencyKey().isEmpty();
    if (configuration.isNonIdempotent(service) || mayBeNonIdempotent) {
      callNonIdempotent(exchange, service, headers, body, request);
    } else {
      callIdempotent(exchange, service, body, request);
    }
  }

  private Optional<RequestError> refusal(
      Configuration configuration, String service, CallerHeaders headers) {
    boolean hasKey = !headers.idempotencyKey().isEmpty();
    if (!dependencies.configurationView().isInForce() && hasKey) {
      return Optional.empty();
    }
    boolean namesExist =
        configuration.service(service).isPresent()
            && configuration.workspace(headers.workspace()).isPresent();
    if (!dependencies.configurationView().isInForce() && !namesExist) {
      return Optional.of(new RequestError.NotInForce());
    }
    if (configuration.service(service).isEmpty()) {
      return Optional.of(new RequestError.UnknownName("service", service));
    }
    if (configuration.workspace(headers.workspace()).isEmpty()) {
      return Optional.of(new RequestError.UnknownName("workspace", headers.workspace()));
    }
    if (configuration.isNonIdempotent(service) && !hasKey) {
      return Optional.of(new RequestError.IdempotencyKeyMissing());
    }
    return Optional.empty();
  }

  private void callNonIdempotent(
      HttpServerExchange exchange,
      String service,
      CallerHeaders headers,
      byte[] body,
      RequestContext request) {
    CallRequest call =
        new CallRequest(
            new ExecutionKey(headers.workspace(), headers.idempotencyKey()),
            service,
            body,
            digest(body),
            headers.keyCreatedAtMs());
    new NonIdempotentCall(
            call,
            request,
            dependencies,
            ledger,
            vm,
            result -> sendResult(exchange, headers.idempotencyKey(), request, result))
        .start();
  }

  private void sendResult(
      HttpServerExchange exchange, String key, RequestContext request, CallResult result) {
    request.span().end();
    if (result.response().isRight()) {
      responder.sendServiceResponse(
          exchange,
          result.response().get().status(),
          result.response().get().body().getBytes(StandardCharsets.UTF_8),
          List.of(result.cost()));
    } else if (result.response().getLeft() instanceof RequestError.OutcomeUnknown) {
      responder.sendOutcomeUnknown(exchange, key, List.of(result.cost()));
    } else {
      responder.sendError(
          exchange, result.response().getLeft(), result.execution(), List.of(result.cost()));
    }
  }

  private void callIdempotent(
      HttpServerExchange exchange, String service, byte[] body, RequestContext request) {
    Pipeline pipeline =
        new Pipeline(
            service,
            dependencies.settings().defaultCallDeadlineMs(),
            List.of(new Stage(NonIdempotentCall.STAGE_NAME, service, 0)));
    StageTask task =
        new StageTask(
            NonIdempotentCall.STAGE_NAME,
            service,
            PipelinePlan.EXECUTE_PATH,
            false,
            true,
            true,
            0,
            (offset, text) -> body);
    PipelineRun run =
        new PipelineRun(
            pipeline,
            (index, input) -> task,
            request,
            dependencies,
            dependencies.policies().callAdmission(),
            new IdempotentCallReceiver(exchange, request));
    CallerConnection.watch(exchange, run::cancel);
    run.start(NullNode.getInstance());
  }

  /**
   * Sends the state of a non-idempotent call.
   *
   * @param exchange exchange of the request
   * @param key idempotency key
   * @param headers headers of the caller
   */
  void sendStatus(HttpServerExchange exchange, String key, CallerHeaders headers) {
    long timeoutMs = headers.deadlineMs().orElse(dependencies.settings().defaultCallDeadlineMs());
    ledger
        .status(new ExecutionKey(headers.workspace(), key), timeoutMs)
        .whenComplete(
            (result, failure) -> {
              if (failure != null || result.isLeft()) {
                responder.sendOutcomeUnknown(exchange, key, List.of());
              } else if (result.get().isEmpty()) {
                responder.sendError(
                    exchange, new RequestError.UnknownCall(), ExecutionOutcome.UNKNOWN, List.of());
              } else {
                responder.sendJson(exchange, 200, statusBody(key, result.get().get()));
              }
            });
  }

  private static ObjectNode statusBody(String key, ExecutionRecord record) {
    ObjectNode json = Json.MESSAGES.createObjectNode();
    json.put("key", key);
    json.put("state", record.state().name());
    json.put("execution", outcome(record.state()).text());
    json.put("service", record.service());
    if (record.state() == ExecutionState.DONE) {
      json.put("status", record.status());
      json.put("answer", record.responseBody());
    }
    return json;
  }

  private static ExecutionOutcome outcome(ExecutionState state) {
    return switch (state) {
      case DONE -> ExecutionOutcome.DONE;
      case NOT_RUN -> ExecutionOutcome.NOT_RUN;
      default -> ExecutionOutcome.UNKNOWN;
    };
  }

  private static String digest(byte[] body) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is missing in this Java runtime", e);
    }
  }

  private final class IdempotentCallReceiver implements RequestReceiver {

    private final HttpServerExchange exchange;
    private final RequestContext request;

    private IdempotentCallReceiver(HttpServerExchange exchange, RequestContext request) {
      this.exchange = exchange;
      this.request = request;
    }

    @Override
    public void onToken(int offset, String text) {
      // Service calls are not streamed.
    }

    @Override
    public void onEnd(RequestResult result) {
      request.span().end();
      if (result.response().isRight()) {
        responder.sendServiceResponse(
            exchange,
            result.response().get().status(),
            result.response().get().body(),
            result.stages());
      } else {
        responder.sendError(
            exchange,
            result.response().getLeft(),
            result.mayHaveRun() ? ExecutionOutcome.UNKNOWN : ExecutionOutcome.NOT_RUN,
            result.stages());
      }
    }
  }
}
