package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpRequest;
import java.util.Map;
import org.ragwortpick.entry.http.RawUpstream;
import org.ragwortpick.logging.RecordedLines;
import org.testng.annotations.Test;

/** Guards against lines of requests from which the cause of their outcome cannot be told. */
public final class RequestLogTest extends ForwardServerFixture {

  private static RawUpstream upstream() throws Exception {
    return new RawUpstream((c, r, request) -> RawUpstream.response(request, "", "done"));
  }

  private static Map<String, Object> firstOf(RecordedLines recorded) throws InterruptedException {
    for (int i = 0; i < 200 && recorded.lines().isEmpty(); i++) {
      pause(5);
    }
    return recorded.lines().get(0);
  }

  @Test
  public void lineOfRequestNamesDataCentreAndConfigurationOfItsChoice() throws Exception {
    try (RawUpstream local = upstream();
        RecordedLines recorded = new RecordedLines(RequestLog.class.getName(), "request ended")) {
      server().upstreams().announceVersion("a", "u1", local.address());
      assertEquals(server().post("/safe/x", "r1").statusCode(), 200);
      Map<String, Object> line = firstOf(recorded);
      assertEquals(line.get("dataCentre"), "dc");
      assertEquals(line.get("revision"), "1");
      assertEquals(line.get("version"), "a");
      assertEquals(line.get("takeUp"), "false");
      assertEquals(line.get("resumes"), "-");
      long chosenMs = Long.parseLong((String) line.get("sentMs"));
      long writtenMs = Long.parseLong((String) line.get("writtenMs"));
      assertTrue(chosenMs >= 0 && writtenMs >= chosenMs, line.toString());
    }
  }

  @Test
  public void lineOfTakeUpNamesTheRequestThatBeganTheStream() throws Exception {
    try (RawUpstream local = upstream();
        RecordedLines recorded = new RecordedLines(RequestLog.class.getName(), "request ended")) {
      server().upstreams().announceVersion("a", "u1", local.address());
      HttpRequest takeUp =
          server()
              .request("/safe/x", "r2")
              .header("Continues", "r1")
              .header("Last-Seen-Event", "7")
              .build();
      assertEquals(server().send(takeUp).statusCode(), 200);
      Map<String, Object> line = firstOf(recorded);
      assertEquals(line.get("takeUp"), "true");
      assertEquals(line.get("resumes"), "r1");
      assertEquals(line.get("lookUp"), "NOT_NEEDED");
      assertEquals(server().count("ragwortpick_forward_take_ups", "answered"), 1.0);
    }
  }
}
