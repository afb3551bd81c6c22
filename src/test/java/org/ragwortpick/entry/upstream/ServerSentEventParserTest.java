package org.ragwortpick.entry.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Guards against events that depend on how the stream is split into reads. */
public final class ServerSentEventParserTest {

  private static final String STREAM =
      ": note\r\nevent: token\r\ndata: {\"text\":\"ž\"}\r\n\r\n"
          + "data:a\ndata: b\n\nevent: done\ndata: c";

  private static void feed(ServerSentEventParser parser, byte[] bytes, int from, int to) {
    assertTrue(parser.feed(ByteBuffer.wrap(bytes, from, to - from)));
  }

  @Test
  public void eventsDoNotDependOnSplitAndUnfinishedOneIsDropped() {
    byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
    for (int split = 0; split <= bytes.length; split++) {
      List<ServerSentEvent> events = new ArrayList<>();
      ServerSentEventParser parser = new ServerSentEventParser(events::add);
      feed(parser, bytes, 0, split);
      feed(parser, bytes, split, bytes.length);
      assertEquals(
          events,
          List.of(
              new ServerSentEvent("token", "{\"text\":\"ž\"}"),
              new ServerSentEvent("message", "a\nb")),
          "split at byte " + split);
    }
  }

  @Test
  public void tooLongLineIsRejected() {
    ServerSentEventParser parser = new ServerSentEventParser(event -> {});
    assertFalse(parser.feed(ByteBuffer.wrap(new byte[100_000])));
  }
}
