package org.ragwortpick.entry.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.ragwortpick.common.Json;

/** Handlers of upstreams that follow the upstream API. */
final class TestUpstreams {

  private static final List<String> ECHOED = List.of("Request-Id", "Stage", "Attempt");

  private TestUpstreams() {}

  static void echoAttemptId(HttpServerExchange exchange) {
    for (String name : ECHOED) {
      exchange
          .getResponseHeaders()
          .put(HttpString.tryFromString(name), exchange.getRequestHeaders().getFirst(name));
    }
  }

  /** Returns a handler that responds with a fixed status and body. */
  static HttpHandler responding(int status, String body) {
    return new BlockingHandler(
        exchange -> {
          exchange.getInputStream().readAllBytes();
          echoAttemptId(exchange);
          exchange.setStatusCode(status);
          exchange.getResponseSender().send(body);
        });
  }

  /** Returns a handler that streams the tokens {@code t0 t1 ...} from the resume offset on. */
  static HttpHandler engine(int tokens) {
    return new BlockingHandler(
        exchange -> {
          int from =
              Json.MESSAGES
                  .readTree(exchange.getInputStream().readAllBytes())
                  .path("resumeOffset")
                  .asInt(0);
          OutputStream out = startStream(exchange);
          for (int offset = from; offset < tokens; offset++) {
            token(out, offset);
          }
          out.write(("event: done\ndata: {\"tokens\":" + tokens + "}\n\n").getBytes());
        });
  }

  static OutputStream startStream(HttpServerExchange exchange) {
    echoAttemptId(exchange);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
    return exchange.getOutputStream();
  }

  static void token(OutputStream out, int offset) throws IOException {
    String data = "{\"offset\":" + offset + ",\"text\":\"t" + offset + " \"}";
    out.write(("event: token\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    out.flush();
  }
}
