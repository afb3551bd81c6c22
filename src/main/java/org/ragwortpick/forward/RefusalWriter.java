package org.ragwortpick.forward;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.Locale;
import org.ragwortpick.common.Json;

/** Sends refusals to callers. */
final class RefusalWriter {

  private static final double SECOND_MS = 1_000.0;

  private RefusalWriter() {}

  /**
   * Sends a refusal, unless the caller has left.
   *
   * @param exchange exchange with the caller
   * @param refusal the refusal
   */
  static void write(HttpServerExchange exchange, Refusal refusal) {
    if (exchange.isResponseStarted() || !exchange.getConnection().isOpen()) {
      exchange.endExchange();
      return;
    }
    exchange.setStatusCode(refusal.status());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    if (refusal.retryAfterMs() > 0) {
      String seconds = String.format(Locale.ROOT, "%.3f", refusal.retryAfterMs() / SECOND_MS);
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
    }
    exchange
        .getResponseSender()
        .send(
            Json.MESSAGES
                .createObjectNode()
                .put("error", refusal.error())
                .put("message", refusal.message())
                .toString());
  }
}
