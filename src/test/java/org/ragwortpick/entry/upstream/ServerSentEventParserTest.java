package org.ragwortpick.entry.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Guards against events that change with the places at which the network cuts the stream. */
public final class ServerSentEventParserTest {

  private static final String STREAM =
      ": note\r\nevent: token\r\ndata: {\"text\":\"ž\"}\r\n\r\n"
          + "data:a\ndata: b\n\nevent: done\ndata: c";

  private static void feed(ServerSentEventParser parser, byte[] bytes, int from, int to) {
    assertTrue(parser.feed(ByteBuffer.wrap(bytes, from, to - from)));
  }

  @Test
  public void cutsDoNotMatterAndUnfinishedEventsAreNotDelivered() {
    byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
    for (int cut = 0; cut <= bytes.length; cut++) {
      List<ServerSentEvent> events = new ArrayList<>();
      ServerSentEventParser parser = new ServerSentEventParser(events::add);
      feed(parser, bytes, 0, cut);
      feed(parser, bytes, cut, bytes.length);
      assertEquals(
          events,
          List.of(
              new ServerSentEvent("token", "{\"text\":\"ž\"}"),
              new ServerSentEvent("message", "a\nb")),
          "cut at " + cut);
    }
  }

  @Test
  public void endlessLineEndsTheStream() {
    ServerSentEventParser parser = new ServerSentEventParser(event -> {});
    assertFalse(parser.feed(ByteBuffer.wrap(new byte[100_000])));
  }
}
