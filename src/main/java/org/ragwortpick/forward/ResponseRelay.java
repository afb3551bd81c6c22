package org.ragwortpick.forward;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Passes the response of an upstream to the caller, as a whole or as a stream. An incomplete
 * response closes the connection to the caller, so that it cannot be taken for a complete one.
 * Confined to the I/O thread.
 */
final class ResponseRelay {

  /** Hop-by-hop headers, which are not forwarded. */
  static final Set<HttpString> CONNECTION_HEADERS =
      Set.of(
          Headers.CONNECTION,
          Headers.KEEP_ALIVE,
          Headers.PROXY_AUTHENTICATE,
          Headers.PROXY_AUTHORIZATION,
          Headers.TE,
          Headers.TRAILER,
          Headers.TRANSFER_ENCODING,
          Headers.UPGRADE,
          Headers.EXPECT,
          HttpString.tryFromString("Proxy-Connection"));

  /** Maximum number of bytes buffered for a caller that reads slowly. */
  private static final int MAX_PENDING_BYTES = 1024 * 1024;

  private final HttpServerExchange exchange;
  private final Deque<ByteBuffer> pending = new ArrayDeque<>();
  private StreamSinkChannel channel;
  private int pendingBytes;
  private boolean finished;

  /**
   * Creates a relay.
   *
   * @param exchange exchange with the caller
   */
  ResponseRelay(HttpServerExchange exchange) {
    this.exchange = exchange;
  }

  /**
   * Sends a complete response.
   *
   * @param status status code
   * @param headers headers of the upstream's response
   * @param body body
   */
  void sendComplete(int status, HeaderMap headers, ByteArrayOutputStream body) {
    exchange.setStatusCode(status);
    copyHeaders(headers);
    exchange.getResponseHeaders().remove(Headers.CONTENT_LENGTH);
    exchange.getResponseSender().send(ByteBuffer.wrap(body.toByteArray()));
  }

  /**
   * Starts a streamed response, whose bytes follow.
   *
   * @param status status code
   * @param headers headers of the upstream's response
   */
  void start(int status, HeaderMap headers) {
    exchange.setStatusCode(status);
    copyHeaders(headers);
    channel = exchange.getResponseChannel();
    channel.getWriteSetter().set(ready -> flush());
    flush();
  }

  private void copyHeaders(HeaderMap headers) {
    for (HeaderValues values : headers) {
      if (!CONNECTION_HEADERS.contains(values.getHeaderName())) {
        exchange.getResponseHeaders().putAll(values.getHeaderName(), values);
      }
    }
  }

  /**
   * Copies bytes into the buffer and writes as much of it as the connection accepts.
   *
   * @param bytes bytes of the body
   * @return false if the buffer limit is exceeded or the caller has disconnected
   */
  boolean write(ByteBuffer bytes) {
    byte[] copy = new byte[bytes.remaining()];
    bytes.get(copy);
    pending.add(ByteBuffer.wrap(copy));
    pendingBytes += copy.length;
    flush();
    return pendingBytes <= MAX_PENDING_BYTES && exchange.getConnection().isOpen();
  }

  /** Ends a complete response. */
  void finish() {
    finished = true;
    flush();
  }

  /** Ends an incomplete response by closing the connection. */
  void abort() {
    IoUtils.safeClose(exchange.getConnection());
    exchange.endExchange();
  }

  private void flush() {
    if (exchange.isComplete()) {
      return;
    }
    try {
      while (!pending.isEmpty()) {
        ByteBuffer first = pending.peek();
        pendingBytes -= channel.write(first);
        if (first.hasRemaining()) {
          channel.resumeWrites();
          return;
        }
        pending.remove();
      }
      if (finished) {
        channel.shutdownWrites();
      }
      if (!channel.flush()) {
        channel.resumeWrites();
        return;
      }
      channel.suspendWrites();
      if (finished) {
        exchange.endExchange();
      }
    } catch (IOException e) {
      // The caller has disconnected; the close listener of its connection ends the request.
      abort();
    }
  }
}
