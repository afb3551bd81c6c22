package org.ragwortpick.forward;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.Locale;
import org.ragwortpick.common.Json;

/** Writes refusals as HTTP responses. */
final class RefusalWriter {

  private static final double MS_PER_SECOND = 1_000.0;

  private RefusalWriter() {}

  /**
   * Sends a refusal, unless a response has started or the caller has disconnected.
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
      String seconds = String.format(Locale.ROOT, "%.3f", refusal.retryAfterMs() / MS_PER_SECOND);
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
