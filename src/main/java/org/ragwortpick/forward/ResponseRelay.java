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
import org.jboss.logging.Logger;
import org.ragwortpick.entry.upstream.BodyFraming;
import org.ragwortpick.entry.upstream.HttpHead;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.channels.StreamSinkChannel;

/**
 * Passes the response of an upstream to the caller, as a whole or as a stream. An incomplete
 * response closes the connection to the caller, so that it cannot be taken for a complete one.
 * Confined to the I/O thread.
 */
final class ResponseRelay {

  private static final Logger LOG = Logger.getLogger(ResponseRelay.class);

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
  private StreamSinkChannel channel;
  private int pendingBytes;
  private boolean endsWithConnection;
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
    setFraming(head.framing());
    channel = exchange.getResponseChannel();
    channel.getWriteSetter().set(ready -> flush());
    flush();
  }

  /**
   * Frames the response so that its caller can tell a complete one, unless the upstream's framing
   * leaves that open: then the response to the caller leaves it open too.
   */
  private void setFraming(BodyFraming framing) {
    boolean hasLength = exchange.getResponseHeaders().contains(Headers.CONTENT_LENGTH);
    endsWithConnection =
        framing == BodyFraming.CONNECTION_CLOSE || (!hasLength && !exchange.isHttp11());
    if (endsWithConnection) {
      exchange.setPersistent(false);
    } else if (!hasLength && framing != BodyFraming.NONE) {
      // Undertow leaves out the chunks on a connection that is not kept.
      exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
    }
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
   * Ends an incomplete response at once by closing the connection, with a reset if a plain close
   * would mark the response as complete.
   */
  void abort() {
    if (endsWithConnection) {
      resetOnClose();
    }
    IoUtils.safeClose(exchange.getConnection());
    exchange.endExchange();
  }

  private void resetOnClose() {
    try {
      exchange.getConnection().setOption(Options.CLOSE_ABORT, true);
    } catch (IOException e) {
      LOG.warnf(e, "cannot reset a caller's connection; its incomplete response may look complete");
    }
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
      if (finished) {
        channel.shutdownWrites();
      }
      if (!channel.flush()) {
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
