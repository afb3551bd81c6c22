package org.ragwortpick.entry.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.vavr.control.Either;
import java.util.List;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.ragwortpick.entry.AddressSource;
import org.ragwortpick.entry.EntryDependencies;
import org.ragwortpick.entry.RequestIds;
import org.ragwortpick.error.ExecutionOutcome;
import org.ragwortpick.error.RequestError;
import org.ragwortpick.ledger.ExecutionLedger;
import org.ragwortpick.sync.Upstream;

/** Routes the HTTP requests of callers and the announcements of upstreams. */
public final class CallerApi implements HttpHandler {

  private static final Logger LOG = Logger.getLogger(CallerApi.class);
  private static final String PIPELINES = "/v1/pipelines/";
  private static final String SERVICES = "/v1/services/";
  private static final String CALLS = "/v1/calls/";
  private static final String ADDRESSES = "/v1/addresses";
  private static final String ANNOUNCEMENTS = "/v1/announcements";

  private final EntryDependencies dependencies;
  private final AddressSource addressSource;
  private final Responder responder;
  private final PipelineEndpoint pipelines;
  private final ServiceEndpoint services;

  /**
   * Creates the API.
   *
   * @param dependencies components that all requests share
   * @param ledger ledger of the execution records
   * @param addressSource source of the entry VM addresses for callers
   * @param ids generator of request ids
   * @param vm name of the local VM
   */
  public CallerApi(
      EntryDependencies dependencies,
      ExecutionLedger ledger,
      AddressSource addressSource,
      RequestIds ids,
      String vm) {
    this.dependencies = dependencies;
    this.addressSource = addressSource;
    this.responder = new Responder(addressSource);
    this.pipelines = new PipelineEndpoint(dependencies, ids, responder);
    this.services = new ServiceEndpoint(dependencies, ledger, ids, vm, responder);
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    dependencies.workCounter().enter();
    exchange.addExchangeCompleteListener(
        (ended, next) -> {
          dependencies.workCounter().exit();
          next.proceed();
        });
    exchange.dispatch(
        SameThreadExecutor.INSTANCE, () -> runGuarded(exchange, () -> route(exchange)));
  }

  private void runGuarded(HttpServerExchange exchange, Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      LOG.error("handler of a request threw an exception; responding with an internal error", e);
      refuse(exchange, new RequestError.Internal(), ExecutionOutcome.UNKNOWN);
    }
  }

  private void route(HttpServerExchange exchange) {
    String path = exchange.getRequestPath();
    HttpString method = exchange.getRequestMethod();
    boolean post = method.equals(Methods.POST);
    boolean get = method.equals(Methods.GET);
    if (post && path.startsWith(PIPELINES)) {
      String name = path.substring(PIPELINES.length());
      parseHeaders(
          exchange,
          headers -> readBody(exchange, body -> pipelines.handle(exchange, name, headers, body)));
    } else if (post && path.startsWith(SERVICES)) {
      String name = path.substring(SERVICES.length());
      parseHeaders(
          exchange,
          headers -> readBody(exchange, body -> services.handle(exchange, name, headers, body)));
    } else if (get && path.startsWith(CALLS)) {
      String key = path.substring(CALLS.length());
      parseHeaders(exchange, headers -> services.sendStatus(exchange, key, headers));
    } else if (get && path.equals(ADDRESSES)) {
      responder.sendJson(exchange, 200, addressSource.current());
    } else if (post && path.equals(ANNOUNCEMENTS)) {
      readBody(exchange, body -> announce(exchange, body));
    } else {
      refuse(
          exchange,
          new RequestError.NoSuchResource(method.toString(), path),
          ExecutionOutcome.NOT_RUN);
    }
  }

  private void parseHeaders(HttpServerExchange exchange, Consumer<CallerHeaders> next) {
    Either<RequestError, CallerHeaders> headers =
        CallerHeaders.parse(exchange.getRequestHeaders(), dependencies.settings().maxDeadlineMs());
    if (headers.isLeft()) {
      refuse(exchange, headers.getLeft(), ExecutionOutcome.NOT_RUN);
    } else {
      next.accept(headers.get());
    }
  }

  private void readBody(HttpServerExchange exchange, Consumer<byte[]> next) {
    int limitBytes = dependencies.settings().maxBodyBytes();
    BodyReader.read(
        exchange,
        limitBytes,
        dependencies.timers(),
        dependencies.settings().bodyTimeoutMs(),
        body -> runGuarded(exchange, () -> next.accept(body)),
        fault -> refuse(exchange, bodyError(fault, limitBytes), ExecutionOutcome.NOT_RUN));
  }

  private static RequestError bodyError(BodyReader.Fault fault, int limitBytes) {
    return fault == BodyReader.Fault.TOO_LARGE
        ? new RequestError.BodyTooLarge(limitBytes)
        : new RequestError.IncompleteBody();
  }

  private void announce(HttpServerExchange exchange, byte[] body) {
    Either<RequestError, Upstream> announcement = AnnouncementParser.parse(body);
    if (announcement.isLeft()) {
      refuse(exchange, announcement.getLeft(), ExecutionOutcome.NOT_RUN);
    } else if (!dependencies.workGate().mayStartWork()) {
      refuse(exchange, new RequestError.Draining(), ExecutionOutcome.NOT_RUN);
    } else {
      dependencies.directory().announce(announcement.get());
      responder.sendJson(exchange, 200, addressSource.current());
    }
  }

  private void refuse(HttpServerExchange exchange, RequestError error, ExecutionOutcome execution) {
    responder.sendError(exchange, error, execution, List.of());
  }
}
