package org.ragwortpick.entry.upstream;

import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Optional;

/** Tracks the body of one response while it is received. */
final class BodyTracker {

  private static final String EVENT_STREAM = "text/event-stream";

  private final HttpHead head;
  private final Optional<EventStreamTracker> events;
  private long sizeBytes;

  /**
   * Creates the tracker of a body of which nothing was received yet.
   *
   * @param head head of the response
   */
  BodyTracker(HttpHead head) {
    this.head = head;
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
   * Decides at the end of the body whether the response is complete.
   *
   * @return the end of the call
   */
  HttpEnd end() {
    if (events.filter(EventStreamTracker::insideEvent).isPresent()) {
      return new CallFailure.Broken(
          CallFailure.Broken.Sign.INSIDE_EVENT,
          "the event stream ended inside an event after " + sizeBytes + " bytes");
    }
    boolean endsWithConnection = head.framing() == BodyFraming.CONNECTION_CLOSE;
    if (endsWithConnection && sizeBytes == 0 && head.isSuccess()) {
      // An upstream without anything to say states a length of 0.
      return new CallFailure.Broken(
          CallFailure.Broken.Sign.EMPTY_BODY, "the connection ended after the head");
    }
    return new HttpEnd.Completed(new ReceivedBody(head.framing(), sizeBytes));
  }
}
