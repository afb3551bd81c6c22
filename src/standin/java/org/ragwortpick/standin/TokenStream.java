package org.ragwortpick.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.handlers.sse.ServerSentEventConnection;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.ragwortpick.common.Json;

/** Server-sent event stream of generated tokens, sent at the token interval of the engine. */
final class TokenStream {

  private final ServerSentEventConnection connection;
  private final UpstreamStandIn upstream;
  private final ScheduledExecutorService executor;
  private final String marker;
  private final int maxTokens;
  private final boolean cut;
  private final Runnable onEnd;
  private final AtomicBoolean ended = new AtomicBoolean();
  private int nextOffset;

  /**
   * Creates a stream.
   *
   * @param connection connection to the caller
   * @param upstream engine whose generation is simulated
   * @param executor executor of the token timer
   * @param marker marker of the request, contained in each token
   * @param maxTokens number of tokens of the complete response
   * @param cut whether the stream ends before half of its tokens are sent
   * @param resumeOffset offset of the first token to send
   * @param onEnd called once when the stream has ended
   */
  TokenStream(
      ServerSentEventConnection connection,
      UpstreamStandIn upstream,
      ScheduledExecutorService executor,
      String marker,
      int maxTokens,
      boolean cut,
      int resumeOffset,
      Runnable onEnd) {
    this.connection = connection;
    this.upstream = upstream;
    this.executor = executor;
    this.marker = marker;
    this.maxTokens = maxTokens;
    this.cut = cut;
    this.nextOffset = resumeOffset;
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
   * Starts the stream: the first token is sent after a delay.
   *
   * @param delayMs delay in milliseconds
   */
  void start(long delayMs) {
    connection.addCloseTask(closed -> markEnded());
    executor.schedule(this::sendNextEvent, delayMs, TimeUnit.MILLISECONDS);
  }

  /** Ends the stream without sending the remaining tokens. */
  void cancel() {
    if (markEnded()) {
      connection.shutdown();
    }
  }

  private void sendNextEvent() {
    if (ended.get() || upstream.isSilent()) {
      return;
    }
    if (cut && nextOffset >= maxTokens / 2) {
      cancel();
      return;
    }
    if (nextOffset >= maxTokens) {
      ObjectNode data = Json.MESSAGES.createObjectNode();
      data.put("tokens", maxTokens);
      markEnded();
      connection.send(data.toString(), "done", null, new ClosingCallback());
      return;
    }
    ObjectNode data = Json.MESSAGES.createObjectNode();
    data.put("offset", nextOffset);
    data.put("text", tokenText(marker, nextOffset));
    connection.send(data.toString(), "token", Integer.toString(nextOffset), null);
    nextOffset++;
    executor.schedule(this::sendNextEvent, upstream.tokenIntervalMs(), TimeUnit.MILLISECONDS);
  }

  private boolean markEnded() {
    if (!ended.compareAndSet(false, true)) {
      return false;
    }
    onEnd.run();
    return true;
  }

  /** Closes the connection after the last event is written or its write has failed. */
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
