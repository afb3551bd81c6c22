package org.ragwortpick.entry.upstream;

import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Optional;

/** Tracks the body of one response while it is received. */
final class BodyTracker {

  private static final String EVENT_STREAM = "text/event-stream";

  private final BodyFraming framing;
  private final Optional<EventStreamTracker> events;
  private long sizeBytes;

  /**
   * Creates the tracker of a body of which nothing was received yet.
   *
   * @param head head of the response
   */
  BodyTracker(HttpHead head) {
    this.framing = head.framing();
    this.events =
        isEventStream(head.headers().getFirst(Headers.CONTENT_TYPE))
            ? Optional.of(new EventStreamTracker())
            : Optional.empty();
  }

  private static boolean isEventStream(String contentType) {
    return contentType != null && contentType.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM);
  }

  /**
   * Records received bytes.
   *
   * @param bytes the bytes; their position is not changed
   */
  void record(ByteBuffer bytes) {
    sizeBytes += bytes.remaining();
    events.ifPresent(tracker -> tracker.feed(bytes));
  }

  /**
   * Describes the body received so far.
   *
   * @return the body
   */
  ReceivedBody received() {
    return new ReceivedBody(
        framing, sizeBytes, events.map(EventStreamTracker::insideEvent).orElse(false));
  }
}
