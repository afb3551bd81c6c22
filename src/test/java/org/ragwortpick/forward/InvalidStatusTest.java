package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against responses without a valid status code that reach a caller as its answer. */
public final class InvalidStatusTest extends ForwardServerFixture {

  private static final String EVENTS = "Content-Type: text/event-stream\r\n";

  private static String respond(String status, String headers, Map<String, String> request) {
    return RawUpstream.response(request, EVENTS + headers, "id: 1\ndata: a\n\n")
        .replace("200 OK", status + " Trouble");
  }

  @DataProvider
  public static Iterator<Object[]> responses() {
    List<Object[]> cases = new ArrayList<>();
    for (String path : List.of("/safe/x", "/once/x", "/stream/x")) {
      for (String status : List.of("000", "099", "600", "999", "20", "1000")) {
        cases.add(new Object[] {path, status, ""});
        // A claim in an invalid response that the request was not run cannot be trusted.
        cases.add(new Object[] {path, status, "Untouched: 1\r\n"});
      }
    }
    return cases.iterator();
  }

  @Test(dataProvider = "responses")
  public void invalidResponseIsNoAnswer(String path, String status, String headers)
      throws Exception {
    try (RawUpstream upstream =
        new RawUpstream((c, r, request) -> respond(status, headers, request))) {
      server().announce("u1", upstream.address());
      RawCaller.Response response = RawCaller.send(server().address(), "HTTP/1.1", path, "");
      assertEquals(response.head().lines().findFirst().orElse(""), "http/1.1 502 bad gateway");
    }
  }

  @Test
  public void repeatableRequestIsRepeatedElsewhere() throws Exception {
    try (RawUpstream invalid = new RawUpstream((c, r, request) -> respond("000", "", request));
        RawUpstream sound =
            new RawUpstream((c, r, request) -> RawUpstream.response(request, "", "done"))) {
      server().announce("invalid", invalid.address());
      server().announce("sound", sound.address());
      for (int i = 0; i < 5; i++) {
        assertEquals(server().post("/safe/x", "r" + i).body(), "done");
      }
    }
  }

  @Test
  public void connectionOfInvalidResponseIsNotUsedAgain() throws Exception {
    List<Integer> connections = new ArrayList<>();
    try (RawUpstream upstream =
        new RawUpstream(
            (connection, r, request) -> {
              connections.add(connection);
              return respond("000", "", request);
            })) {
      server().announce("u1", upstream.address());
      server().post("/once/x", "r1");
      server().post("/once/x", "r2");
      assertEquals(connections, List.of(1, 2));
    }
  }
}
