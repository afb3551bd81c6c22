package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;

import org.ragwortpick.entry.http.EndlessUpstream;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against responses without an end that fill the memory or hold a request. */
public final class EndlessResponseTest {

  private ForwardTestServer server;

  @BeforeMethod
  public void start() throws Exception {
    server = new ForwardTestServer();
  }

  @AfterMethod
  public void stop() {
    server.close();
  }

  @DataProvider
  public static Object[][] endlessHeads() {
    return new Object[][] {
      {"HTTP/1.1 200 OK\r\nMark: ", "a"},
      {"HTTP/1.1 200 OK\r\n", "Mark: a\r\n"},
      {"HTTP/1.1 200 ", "a"},
      {"HTTP/1.1 200 OK\r\n", "a"},
    };
  }

  @Test(dataProvider = "endlessHeads", timeOut = 20_000)
  public void endlessHeadIsLostAndNotATimeout(String beginning, String repeated) throws Exception {
    try (EndlessUpstream upstream = new EndlessUpstream(beginning, repeated, 0)) {
      server.announce("u1", upstream.address());
      assertEquals(server.post("/once/x", "r1").statusCode(), 502);
    }
  }

  @Test(timeOut = 20_000)
  public void repeatableRequestGoesElsewhereAfterEndlessHead() throws Exception {
    try (EndlessUpstream endless = new EndlessUpstream("HTTP/1.1 200 OK\r\nMark: ", "a", 0);
        RawUpstream sound =
            new RawUpstream((c, r, headers) -> RawUpstream.response(headers, "", "done"))) {
      server.announce("endless", endless.address());
      server.announce("sound", sound.address());
      for (int i = 0; i < 6; i++) {
        assertEquals(server.post("/safe/x", "r" + i).body(), "done");
      }
    }
  }

  @Test(timeOut = 20_000)
  public void endlessRefusalIsReportedAsNotRun() throws Exception {
    String head = "HTTP/1.1 503 Busy\r\nUntouched: 1\r\nRequest-Id: {id}\r\n";
    try (EndlessUpstream upstream =
        new EndlessUpstream(head + "Content-Length: 99999999999\r\n\r\n", "a", 0)) {
      server.announce("u1", upstream.address());
      assertEquals(server.post("/once/x", "r1").statusCode(), 503);
    }
  }
}
