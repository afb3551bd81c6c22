package org.ragwortpick.entry.upstream;

import java.nio.ByteBuffer;

/**
 * Tracks whether the bytes of an event stream received so far end inside an event. An event ends
 * with an empty line; lines end with LF, CR or both.
 */
final class EventStreamTracker {

  private boolean insideLine;
  private boolean insideEvent;
  private boolean commentLine;
  private boolean afterCarriageReturn;

  /** Creates the tracker of an empty stream. */
  EventStreamTracker() {}

  /**
   * Processes the next bytes of the stream.
   *
   * @param bytes the bytes; their position is not changed
   */
  void feed(ByteBuffer bytes) {
    for (int i = bytes.position(); i < bytes.limit(); i++) {
      feed(bytes.get(i));
    }
  }

  private void feed(byte value) {
    boolean secondHalfOfLineEnd = value == '\n' && afterCarriageReturn;
    afterCarriageReturn = value == '\r';
    if (secondHalfOfLineEnd) {
      return;
    }
    if (value == '\n' || value == '\r') {
      endLine();
    } else if (!insideLine) {
      insideLine = true;
      commentLine = value == ':';
    }
  }

  private void endLine() {
    boolean emptyLine = !insideLine;
    if (emptyLine) {
      insideEvent = false;
    } else if (!commentLine) {
      insideEvent = true;
    }
    insideLine = false;
  }

  /**
   * Returns whether the stream would be incomplete if it ended now.
   *
   * @return whether an event has begun and not ended
   */
  boolean insideEvent() {
    return insideEvent || insideLine;
  }
}
