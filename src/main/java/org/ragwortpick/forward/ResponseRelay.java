package org.ragwortpick.forward;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import org.ragwortpick.entry.http.ResponseFraming;
import org.ragwortpick.entry.upstream.BodyFraming;
import org.ragwortpick.entry.upstream.HttpHead;
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

  private final HttpServerExchange exchange;
  private final ResponseMemory.Share memory;
  private final Deque<ByteBuffer> pending = new ArrayDeque<>();
  private ResponseFraming framing;
  private StreamSinkChannel channel;
  private int pendingBytes;
  private boolean finished;
  private boolean incomplete;

  /**
   * Creates a relay.
   *
   * @param exchange exchange with the caller
   * @param memory counts the bytes that wait for the caller
   */
  ResponseRelay(HttpServerExchange exchange, ResponseMemory.Share memory) {
    this.exchange = exchange;
    this.memory = memory;
  }

  /**
   * Sends a complete response.
   *
   * @param head head of the upstream's response
   * @param body body
   */
  void sendComplete(HttpHead head, byte[] body) {
    if (head.framing() == BodyFraming.CONNECTION_CLOSE) {
      start(head);
      write(ByteBuffer.wrap(body));
      finish();
      return;
    }
    exchange.setStatusCode(head.status());
    copyHeaders(head.headers());
    exchange.getResponseHeaders().remove(Headers.CONTENT_LENGTH);
    // Released with the share, when the caller has taken the response.
    memory.addBufferedBytes(body.length);
    exchange.getResponseSender().send(ByteBuffer.wrap(body));
  }

  /**
   * Starts a streamed response, whose bytes follow.
   *
   * @param head head of the upstream's response
   */
  void start(HttpHead head) {
    exchange.setStatusCode(head.status());
    copyHeaders(head.headers());
    framing = frame(head.framing());
    channel = exchange.getResponseChannel();
    channel.getWriteSetter().set(ready -> flush());
    flush();
  }

  /**
   * Returns whether only the end of the caller's connection ends the response.
   *
   * @return false before the start
   */
  boolean endsWithConnection() {
    return framing != null && framing.endsWithConnection();
  }

  /** Frames the response as its upstream did; it states no more about its end. */
  private ResponseFraming frame(BodyFraming upstream) {
    return switch (upstream) {
      case NONE -> ResponseFraming.ofNoBody(exchange);
      case LENGTH, CHUNKED -> ResponseFraming.ofKnownEnd(exchange);
      case CONNECTION_CLOSE -> ResponseFraming.ofUnknownEnd(exchange);
    };
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
   * @return false if the caller has disconnected
   */
  boolean write(ByteBuffer bytes) {
    byte[] copy = new byte[bytes.remaining()];
    bytes.get(copy);
    pending.add(ByteBuffer.wrap(copy));
    pendingBytes += copy.length;
    flush();
    return exchange.getConnection().isOpen();
  }

  /**
   * Returns whether so many bytes wait for the caller that no more should be written.
   *
   * @param resume called once when more may be written
   * @return whether it will be called
   */
  boolean isFull(Runnable resume) {
    return memory.pauseIfFull(resume);
  }

  /** Ends a complete response. */
  void finish() {
    finished = true;
    flush();
  }

  /** Ends an incomplete response once its caller has taken the bytes that wait for it. */
  void finishIncomplete() {
    incomplete = true;
    flush();
  }

  /** Ends an incomplete response whose caller has not taken all bytes yet. */
  void abortIfUnfinished() {
    if (!pending.isEmpty()) {
      abort();
    }
  }

  /**
   * Ends an incomplete response at once by closing the connection; {@link ResponseFraming} lets its
   * caller see that it is incomplete.
   */
  void abort() {
    IoUtils.safeClose(exchange.getConnection());
    exchange.endExchange();
  }

  private void flush() {
    if (exchange.isComplete()) {
      return;
    }
    try {
      boolean drained = writePending();
      memory.setPendingBytes(pendingBytes);
      if (!drained) {
        channel.resumeWrites();
        return;
      }
      if (!channel.flush() || (finished && !shutDown())) {
        channel.resumeWrites();
        return;
      }
      channel.suspendWrites();
      if (incomplete) {
        abort();
      } else if (finished) {
        exchange.endExchange();
      }
    } catch (IOException e) {
      // The caller has disconnected; the close listener of its connection ends the request.
      abort();
    }
  }

  /** Ends a complete response whose bytes are written; false if the end is not written yet. */
  private boolean shutDown() throws IOException {
    framing.onCompleteBodyWritten();
    channel.shutdownWrites();
    return channel.flush();
  }

  private boolean writePending() throws IOException {
    while (!pending.isEmpty()) {
      ByteBuffer first = pending.peek();
      pendingBytes -= channel.write(first);
      if (first.hasRemaining()) {
        return false;
      }
      pending.remove();
    }
    return true;
  }
}
