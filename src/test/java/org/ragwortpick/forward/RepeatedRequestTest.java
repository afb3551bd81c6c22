package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against repeats that no budget counts, and against more time than the caller has left. */
public final class RepeatedRequestTest extends ForwardServerFixture {

  private static final int REQUESTS = 60;

  /** Repeats that the test server allows: a constant, and half of the requests of the window. */
  private static final int ALLOWED = 10 + REQUESTS / 2;

  private static final int MAX_ATTEMPTS = 2;
  private static final int FAILURE_AFTER_MS = 200;

  private static String failure(Map<String, String> request, String headers) {
    return "HTTP/1.1 500 Failed\r\nRequest-Id: "
        + request.get("request-id")
        + "\r\n"
        + headers
        + "Content-Length: 0\r\n\r\n";
  }

  @DataProvider
  public static Object[][] responses() {
    return new Object[][] {
      {"failure"}, {"refusal"}, {"no response"}, {"reset"}, {"connection closed after each second"}
    };
  }

  private static String respond(String kind, int request, Map<String, String> headers) {
    return switch (kind) {
      case "failure" -> failure(headers, "");
      case "refusal" -> failure(headers, "Untouched: 1\r\n");
      case "no response" -> "no response";
      case "reset" -> failure(headers, RawUpstream.RESET).substring(0, 30) + RawUpstream.RESET;
      default -> request % 2 == 0 ? "no response" : failure(headers, "");
    };
  }

  @Test(dataProvider = "responses")
  public void everyArrivalBeyondTheFirstIsTakenFromTheBudget(String kind) throws Exception {
    try (RawUpstream first = new RawUpstream((c, r, headers) -> respond(kind, r, headers));
        RawUpstream second = new RawUpstream((c, r, headers) -> respond(kind, r, headers));
        RawUpstream third = new RawUpstream((c, r, headers) -> respond(kind, r, headers))) {
      server().announce("u1", first.address());
      server().announce("u2", second.address());
      server().announce("u3", third.address());
      int most = 0;
      for (int i = 0; i < REQUESTS; i++) {
        int before = first.workRequests() + second.workRequests() + third.workRequests();
        server().post("/safe/x", "r" + i);
        int after = first.workRequests() + second.workRequests() + third.workRequests();
        most = Math.max(most, after - before);
      }
      int arrivals = first.workRequests() + second.workRequests() + third.workRequests();
      assertTrue(arrivals - REQUESTS <= ALLOWED, arrivals + " arrivals");
      assertTrue(most <= MAX_ATTEMPTS, most + " arrivals of one request");
    }
  }

  @Test
  public void repeatHandsOnTheTimeThatIsLeft() throws Exception {
    List<Integer> timesLeftMs = Collections.synchronizedList(new ArrayList<>());
    RawUpstream.Behaviour behaviour =
        (c, r, headers) -> {
          timesLeftMs.add(Integer.parseInt(headers.get("time-left-ms")));
          try {
            pause(FAILURE_AFTER_MS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          return failure(headers, "");
        };
    try (RawUpstream first = new RawUpstream(behaviour);
        RawUpstream second = new RawUpstream(behaviour)) {
      server().announce("u1", first.address());
      server().announce("u2", second.address());
      assertEquals(server().post("/safe/x", "r1").statusCode(), 500);
      assertEquals(timesLeftMs.size(), MAX_ATTEMPTS);
      assertTrue(
          timesLeftMs.get(0) <= ForwardTestServer.REQUEST_TIMEOUT_MS, timesLeftMs.toString());
      assertTrue(
          timesLeftMs.get(1) <= timesLeftMs.get(0) - FAILURE_AFTER_MS, timesLeftMs.toString());
    }
  }
}
