package org.ragwortpick.entry.upstream;

import static org.testng.Assert.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a stream that was cut inside an event and is taken for a complete one. */
public final class EventStreamTrackerTest {

  @DataProvider
  public static Object[][] streams() {
    return new Object[][] {
      {"", false},
      {"\n\n", false},
      {"data: a\n\n", false},
      {"data: a\r\n\r\n", false},
      {"data: a\r\r", false},
      {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false},
      {": comment\n", false},
      {"data: a\n\n: comment\n", false},
      {"d", true},
      {"data: a", true},
      {"data: a\n", true},
      {"data: a\r\n", true},
      {"data: a\r\n\r", false},
      {"data: a\n\nid: 2", true},
      {"data: a\n\nid: 2\n", true},
      {"data: a\n: comment\n", true},
      {": comm", true},
    };
  }

  @Test(dataProvider = "streams")
  public void endInsideEventIsRecognisedHoweverBytesArrive(String stream, boolean insideEvent) {
    byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
    EventStreamTracker whole = new EventStreamTracker();
    whole.feed(ByteBuffer.wrap(bytes));
    assertEquals(whole.insideEvent(), insideEvent);
    EventStreamTracker single = new EventStreamTracker();
    for (byte value : bytes) {
      single.feed(ByteBuffer.wrap(new byte[] {value}));
    }
    assertEquals(single.insideEvent(), insideEvent);
  }
}
