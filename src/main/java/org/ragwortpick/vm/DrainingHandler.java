package org.ragwortpick.vm;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import org.ragwortpick.entry.WorkCounter;
import org.ragwortpick.entry.http.BodyDiscarder;

/**
 * Lets requests that were read before a stop end with their responses. Requests that are read later
 * are refused with status 503, which states that they were not carried out.
 */
final class DrainingHandler implements HttpHandler {

  private final HttpHandler next;
  private final WorkCounter work;
  private volatile boolean draining;

  /**
   * Creates a handler that passes all requests on.
   *
   * @param next handler of the requests
   * @param work counter of the requests in flight
   */
  DrainingHandler(HttpHandler next, WorkCounter work) {
    this.next = next;
    this.work = work;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    work.enter();
    exchange.addExchangeCompleteListener(
        (ended, nextListener) -> {
          work.exit();
          nextListener.proceed();
        });
    if (!draining) {
      next.handleRequest(exchange);
      return;
    }
    exchange.setPersistent(false);
    exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
    BodyDiscarder.discard(exchange, exchange::endExchange);
  }

  /** Refuses further requests. */
  void drain() {
    draining = true;
  }
}
