package org.ragwortpick.entry.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes server-sent events to a caller without blocking. If the caller reads too slowly and too
 * many bytes are pending, the connection is closed, so that memory use stays bounded.
 */
final class EventStreamWriter {

  private static final int MAX_PENDING_BYTES = 1024 * 1024;

  private final HttpServerExchange exchange;
  private final Deque<ByteBuffer> pending = new ArrayDeque<>();
  private int pendingBytes;
  private boolean flushScheduled;
  private boolean finished;
  private ResponseFraming framing;
  private StreamSinkChannel channel;

  /**
   * Creates a writer.
   *
   * @param exchange exchange of the request
   */
  EventStreamWriter(HttpServerExchange exchange) {
    this.exchange = exchange;
  }

  /**
   * Queues an event. May be called from any thread.
   *
   * @param name name of the event
   * @param json data as JSON in one line
   */
  void writeEvent(String name, String json) {
    byte[] bytes = ("event: " + name + "\ndata: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
    synchronized (this) {
      pending.add(ByteBuffer.wrap(bytes));
      pendingBytes += bytes.length;
    }
    scheduleFlush();
  }

  /** Ends the stream after the queued events. */
  void finish() {
    synchronized (this) {
      finished = true;
    }
    scheduleFlush();
  }

  private void scheduleFlush() {
    synchronized (this) {
      if (flushScheduled) {
        return;
      }
      flushScheduled = true;
    }
    exchange.getIoThread().execute(this::flush);
  }

  private void flush() {
    synchronized (this) {
      flushScheduled = false;
    }
    try {
      if (!exchange.getConnection().isOpen()) {
        exchange.endExchange();
      } else if (exchange.isComplete()) {
        return;
      } else {
        openChannel();
        writePending();
      }
    } catch (IOException e) {
      IoUtils.safeClose(exchange.getConnection());
      exchange.endExchange();
    }
  }

  private void openChannel() {
    if (channel == null) {
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
      framing = ResponseFraming.ofKnownEnd(exchange);
      channel = exchange.getResponseChannel();
      channel.getWriteSetter().set(ready -> flush());
    }
  }

  private void writePending() throws IOException {
    boolean end;
    synchronized (this) {
      while (!pending.isEmpty()) {
        ByteBuffer first = pending.peek();
        int count = channel.write(first);
        pendingBytes -= count;
        if (first.hasRemaining()) {
          break;
        }
        pending.remove();
      }
      if (pendingBytes > MAX_PENDING_BYTES) {
        throw new IOException(
            "the caller reads too slowly: more than " + MAX_PENDING_BYTES + " bytes are pending");
      }
      end = finished && pending.isEmpty();
      if (!pending.isEmpty()) {
        channel.resumeWrites();
        return;
      }
    }
    if (!channel.flush() || (end && !shutDown())) {
      channel.resumeWrites();
      return;
    }
    channel.suspendWrites();
    if (end) {
      exchange.endExchange();
    }
  }

  /** Ends a complete stream whose bytes are written; false if the end is not written yet. */
  private boolean shutDown() throws IOException {
    framing.onCompleteBodyWritten();
    channel.shutdownWrites();
    return channel.flush();
  }
}
