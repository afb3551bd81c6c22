package org.ragwortpick.entry.pipeline;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.Json;
import org.ragwortpick.entry.EntryDependencies;
import org.ragwortpick.entry.upstream.AttemptId;
import org.ragwortpick.entry.upstream.ServerSentEvent;
import org.ragwortpick.entry.upstream.UpstreamEnd;
import org.ragwortpick.entry.upstream.UpstreamHead;
import org.ragwortpick.entry.upstream.UpstreamListener;
import org.ragwortpick.entry.upstream.UpstreamRequest;

/**
 * Sends cancel requests to upstreams for work whose result is no longer needed. A cancel starts no
 * new work, so it is also sent to data centres that are taken out.
 */
final class CancelSender {

  /** Path of cancel requests in the upstream API. */
  static final String CANCEL_PATH = "/v1/cancel";

  private static final IgnoringListener IGNORING_LISTENER = new IgnoringListener();

  private final EntryDependencies dependencies;

  /**
   * Creates a sender.
   *
   * @param dependencies components that all requests share
   */
  CancelSender(EntryDependencies dependencies) {
    this.dependencies = dependencies;
  }

  /**
   * Sends a cancel. Its outcome is ignored, since the deadline bounds the work in any case.
   *
   * @param address address of the upstream
   * @param id id of the attempt to cancel
   */
  void send(HostPort address, AttemptId id) {
    ObjectNode body = Json.MESSAGES.createObjectNode();
    body.put("requestId", id.requestId()).put("stage", id.stage()).put("attempt", id.attempt());
    long timeoutMs = dependencies.settings().progressTimeoutMs();
    dependencies
        .client()
        .send(
            new UpstreamRequest(
                address,
                CANCEL_PATH,
                id,
                timeoutMs,
                "",
                body.toString().getBytes(StandardCharsets.UTF_8),
                false,
                false,
                timeoutMs,
                () -> true),
            IGNORING_LISTENER);
  }

  private static final class IgnoringListener implements UpstreamListener {

    @Override
    public void onHead(UpstreamHead head) {
      // The outcome of a cancel is ignored.
    }

    @Override
    public void onEvent(ServerSentEvent event) {
      // The response to a cancel has no events.
    }

    @Override
    public void onEnd(UpstreamEnd end) {
      // The outcome of a cancel is ignored.
    }
  }
}
