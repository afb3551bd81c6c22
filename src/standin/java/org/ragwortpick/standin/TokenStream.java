package org.ragwortpick.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.handlers.sse.ServerSentEventConnection;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.ragwortpick.common.Json;

/** One stream of generated tokens. */
final class TokenStream {

  private final ServerSentEventConnection connection;
  private final UpstreamStandIn upstream;
  private final ScheduledExecutorService executor;
  private final String marker;
  private final int maxTokens;
  private final Runnable onEnd;
  private final AtomicBoolean ended = new AtomicBoolean();
  private int offset;

  /**
   * Creates a stream.
   *
   * @param connection connection to the caller
   * @param upstream engine that generates
   * @param executor executor of the token timer
   * @param marker marker of the request, part of each token
   * @param maxTokens number of tokens of the whole answer
   * @param resumeOffset offset of the first token to send
   * @param onEnd called once when the stream ends
   */
  TokenStream(
      ServerSentEventConnection connection,
      UpstreamStandIn upstream,
      ScheduledExecutorService executor,
      String marker,
      int maxTokens,
      int resumeOffset,
      Runnable onEnd) {
    this.connection = connection;
    this.upstream = upstream;
    this.executor = executor;
    this.marker = marker;
    this.maxTokens = maxTokens;
    this.offset = resumeOffset;
    this.onEnd = onEnd;
  }

  /**
   * Returns the text of a token.
   *
   * @param marker marker of the request
   * @param offset offset of the token
   * @return the text
   */
  static String tokenText(String marker, int offset) {
    return marker + "/" + offset + " ";
  }

  /**
   * Sends the first token after a delay.
   *
   * @param delayMs delay in milliseconds
   */
  void start(long delayMs) {
    connection.addCloseTask(closed -> end());
    executor.schedule(this::next, delayMs, TimeUnit.MILLISECONDS);
  }

  /** Ends the stream without the remaining tokens. */
  void cancel() {
    if (end()) {
      connection.shutdown();
    }
  }

  private void next() {
    if (ended.get() || upstream.isSilent()) {
      return;
    }
    if (offset >= maxTokens) {
      ObjectNode data = Json.MESSAGES.createObjectNode();
      data.put("tokens", maxTokens);
      end();
      connection.send(data.toString(), "done", null, new ClosingCallback());
      return;
    }
    ObjectNode data = Json.MESSAGES.createObjectNode();
    data.put("offset", offset);
    data.put("text", tokenText(marker, offset));
    connection.send(data.toString(), "token", Integer.toString(offset), null);
    offset++;
    executor.schedule(this::next, upstream.tokenIntervalMs(), TimeUnit.MILLISECONDS);
  }

  private boolean end() {
    if (!ended.compareAndSet(false, true)) {
      return false;
    }
    onEnd.run();
    return true;
  }

  /** Closes the connection after the last event was written. */
  private static final class ClosingCallback implements ServerSentEventConnection.EventCallback {
    @Override
    public void done(ServerSentEventConnection connection, String data, String event, String id) {
      connection.shutdown();
    }

    @Override
    public void failed(
        ServerSentEventConnection connection,
        String data,
        String event,
        String id,
        java.io.IOException e) {
      connection.shutdown();
    }
  }
}
