package org.ragwortpick.entry.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Incremental parser of server-sent events. An event is delivered only once the blank line that
 * ends it was received.
 */
final class ServerSentEventParser {

  private static final String DEFAULT_NAME = "message";
  private static final int MAX_LINE_BYTES = 64 * 1024;

  private final Consumer<ServerSentEvent> receiver;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final StringBuilder data = new StringBuilder();
  private String name = DEFAULT_NAME;
  private boolean hasData;

  /**
   * Creates a parser.
   *
   * @param receiver receiver of the events
   */
  ServerSentEventParser(Consumer<ServerSentEvent> receiver) {
    this.receiver = receiver;
  }

  /**
   * Parses the next bytes of the stream.
   *
   * @param bytes bytes of the stream; consumed completely
   * @return false if a line exceeds the limit; the stream must then be aborted
   */
  boolean feed(ByteBuffer bytes) {
    while (bytes.hasRemaining()) {
      byte value = bytes.get();
      if (value == '\n') {
        endLine();
      } else if (value != '\r') {
        line.write(value);
        if (line.size() > MAX_LINE_BYTES) {
          return false;
        }
      }
    }
    return true;
  }

  private void endLine() {
    String text = line.toString(StandardCharsets.UTF_8);
    line.reset();
    if (text.isEmpty()) {
      dispatch();
      return;
    }
    int colon = text.indexOf(':');
    String field = colon < 0 ? text : text.substring(0, colon);
    String value = colon < 0 ? "" : text.substring(colon + 1);
    value = value.startsWith(" ") ? value.substring(1) : value;
    if (field.equals("event")) {
      name = value;
    } else if (field.equals("data")) {
      if (hasData) {
        data.append('\n');
      }
      data.append(value);
      hasData = true;
    }
  }

  private void dispatch() {
    if (hasData) {
      receiver.accept(new ServerSentEvent(name, data.toString()));
    }
    name = DEFAULT_NAME;
    data.setLength(0);
    hasData = false;
  }
}
