package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Clock;
import java.util.Map;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.logging.RecordedLines;
import org.testng.annotations.Test;

/** Guards against a refusal whose cause cannot be told from line and metrics, or a logged key. */
public final class RefusalLogTest extends ForwardServerFixture {

  @Override
  Clock clock() {
    return new ManualClock();
  }

  private HttpResponse<String> sendWithKey(String key) throws Exception {
    return server()
        .send(
            server()
                .request("/safe/x", "r1")
                .setHeader("Access-Code", key)
                .POST(HttpRequest.BodyPublishers.ofString("body"))
                .build());
  }

  @Test
  public void lineOfRefusalTellsTheCauseAndHidesTheKey() throws Exception {
    try (RecordedLines recorded =
        new RecordedLines(ForwardHandler.class.getName(), "request refused")) {
      assertEquals(sendWithKey("no-such-key").statusCode(), 401);
      server().setConfirmedSinceResume(false);
      assertEquals(sendWithKey("no-such-key").statusCode(), 503);
      Map<String, Object> current = recorded.lines().get(0);
      assertEquals(current.get("request"), "r1");
      assertEquals(current.get("reason"), "unknown_key");
      assertEquals(current.get("status"), "401");
      assertEquals(current.get("revision"), "1");
      assertEquals(current.get("confirmedSinceResume"), "true");
      // First digits of the output of sha256sum.
      assertEquals(current.get("keyHash"), "5620aa17");
      assertFalse(current.toString().contains("no-such-key"), current.toString());
      Map<String, Object> unconfirmed = recorded.lines().get(1);
      assertEquals(unconfirmed.get("reason"), "unconfirmed_unknown_key");
      assertEquals(unconfirmed.get("confirmedSinceResume"), "false");
    }
  }

  @Test
  public void refusalsAreCountedByReasonAndStatus() throws Exception {
    String counter = "ragwortpick_forward_refusals";
    assertEquals(sendWithKey("no-such-key").statusCode(), 401);
    assertEquals(server().post("/absent/x", "r2").statusCode(), 404);
    assertEquals(server().post("/absent/x", "r3").statusCode(), 404);
    assertEquals(server().count(counter, "unknown_key"), 1.0);
    assertEquals(server().count(counter, "401"), 1.0);
    assertEquals(server().count(counter, "no_route"), 2.0);
    assertEquals(server().count(counter, "404"), 2.0);
  }
}
