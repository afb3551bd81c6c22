package org.ragwortpick.entry.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import org.jboss.logging.Logger;
import org.xnio.Options;

/**
 * Framing of a response that is written in parts, by which its caller tells a complete body from an
 * incomplete one.
 *
 * <p>A body without a length and without chunks ends with its connection, and an orderly end of the
 * connection means that the body is complete. Until it is, the socket is set to be reset when it
 * closes. The kernel closes it if the process ends, so the end of the process, too, is a reset.
 *
 * <p>Confined to the I/O thread of the exchange.
 */
public final class ResponseFraming {

  private static final Logger LOG = Logger.getLogger(ResponseFraming.class);

  private final HttpServerExchange exchange;
  private final boolean endsWithConnection;
  private boolean resetsOnClose;

  private ResponseFraming(HttpServerExchange exchange, boolean endsWithConnection) {
    this.exchange = exchange;
    this.endsWithConnection = endsWithConnection;
  }

  /**
   * Sets the framing of a body whose end the writer of the response knows. The headers must be set,
   * and nothing of the response may be written yet.
   *
   * @param exchange exchange of the request
   * @return the framing
   */
  public static ResponseFraming ofKnownEnd(HttpServerExchange exchange) {
    if (!hasLength(exchange) && exchange.isHttp11()) {
      // Undertow leaves out the chunks on a connection that is not kept.
      exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
      return new ResponseFraming(exchange, false);
    }
    return ofNoBody(exchange);
  }

  /**
   * Sets the framing of a response without a body. Without a stated length, a caller of HTTP/1.0
   * reads until the connection ends.
   *
   * @param exchange exchange of the request
   * @return the framing
   */
  public static ResponseFraming ofNoBody(HttpServerExchange exchange) {
    if (hasLength(exchange) || exchange.isHttp11()) {
      return new ResponseFraming(exchange, false);
    }
    return ofUnknownEnd(exchange);
  }

  /**
   * Sets the framing of a body of which nothing tells whether it is complete but that its source
   * ended in order: it ends with the connection, also if the caller understands chunks. The headers
   * must be set, and nothing of the response may be written yet.
   *
   * @param exchange exchange of the request
   * @return the framing
   */
  public static ResponseFraming ofUnknownEnd(HttpServerExchange exchange) {
    ResponseFraming framing = new ResponseFraming(exchange, true);
    exchange.setPersistent(false);
    framing.setResetOnClose(true);
    return framing;
  }

  private static boolean hasLength(HttpServerExchange exchange) {
    return exchange.getResponseHeaders().contains(Headers.CONTENT_LENGTH);
  }

  /**
   * Lets the connection end in order. Must be called when the socket has taken the last byte of a
   * complete response, and before writes are shut down.
   */
  public void onCompleteBodyWritten() {
    if (resetsOnClose) {
      setResetOnClose(false);
    }
  }

  /**
   * Returns whether only the end of the connection ends the body.
   *
   * @return whether the response has neither a length nor chunks
   */
  public boolean endsWithConnection() {
    return endsWithConnection;
  }

  private void setResetOnClose(boolean reset) {
    resetsOnClose = reset;
    try {
      exchange.getConnection().setOption(Options.CLOSE_ABORT, reset);
    } catch (IOException e) {
      LOG.warnf(
          e,
          reset
              ? "cannot reset a caller's connection; its incomplete response may look complete"
              : "cannot end a caller's connection in order; its complete response is reset");
    }
  }
}
