package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import org.ragwortpick.entry.http.RawUpstream;
import org.ragwortpick.logging.RecordedLines;
import org.testng.annotations.Test;

/** Guards against lines of requests from which the cause of their outcome cannot be told. */
public final class RequestLogTest extends ForwardServerFixture {

  private static RawUpstream upstream() throws Exception {
    return new RawUpstream((c, r, request) -> RawUpstream.response(request, "", "done"));
  }

  @Test
  public void lineOfRequestNamesDataCentreAndConfigurationOfItsChoice() throws Exception {
    try (RawUpstream local = upstream();
        RecordedLines recorded = new RecordedLines(RequestLog.class.getName(), "request ended")) {
      server().announce("u1", local.address());
      assertEquals(server().post("/safe/x", "r1").statusCode(), 200);
      for (int i = 0; i < 200 && recorded.lines().isEmpty(); i++) {
        pause(5);
      }
      Map<String, Object> line = recorded.lines().get(0);
      assertEquals(line.get("dataCentre"), "dc");
      assertEquals(line.get("revision"), "1");
      long chosenMs = Long.parseLong((String) line.get("sentMs"));
      long writtenMs = Long.parseLong((String) line.get("writtenMs"));
      assertTrue(chosenMs >= 0 && writtenMs >= chosenMs, line.toString());
    }
  }
}
