package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a late second copy of a response that the next caller gets as its own. */
public final class ForeignResponseTest extends ForwardServerFixture {

  private static final String NO_ID = "";

  /** Head and body of responses that may be sent again, without their id. */
  private static final List<String> RESPONSES =
      List.of(
          "HTTP/1.1 200 OK\r\n|Content-Length: 0\r\n\r\n",
          "HTTP/1.1 204 No Content\r\n|\r\n",
          "HTTP/1.1 304 Not Modified\r\n|\r\n",
          "HTTP/1.1 201 Created\r\n|Content-Length: 0\r\n\r\n",
          "HTTP/1.1 200 OK\r\n|Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          "HTTP/1.1 200 OK\r\n|Content-Length: 4\r\n\r\nbody",
          "HTTP/1.1 200 OK\r\n|Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
          "HTTP/1.1 200 OK\r\n|Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 404 Not Found\r\n|Content-Length: 0\r\n\r\n",
          "HTTP/1.1 500 Failed\r\n|Content-Length: 0\r\n\r\n",
          "HTTP/1.1 503 Busy\r\n|Untouched: 1\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 421 Misdirected\r\n|Content-Length: 0\r\n\r\n",
          "HTTP/1.1 103 Early Hints\r\n|\r\n");

  private static String response(String text, String id) {
    String idHeader = id.isEmpty() ? "" : "Request-Id: " + id + "\r\nAnswer-To: " + id + "\r\n";
    return text.replace("|", idHeader);
  }

  @DataProvider
  public static Object[][] copies() {
    List<Object[]> cases = new ArrayList<>();
    for (String route : List.of("safe", "once", "stream")) {
      for (String text : RESPONSES) {
        cases.add(new Object[] {route, text});
      }
    }
    return cases.toArray(Object[][]::new);
  }

  private static void assertNotAnsweredBy(String id, HttpResponse<String> response) {
    assertNotEquals(response.headers().firstValue("Answer-To").orElse(NO_ID), id);
    boolean own = response.headers().firstValue("Answer-To").orElse(NO_ID).equals("r2");
    boolean unknown = response.statusCode() == 502;
    assertTrue(own || unknown, response + " " + response.body());
  }

  /** The copy arrives in front of the response to the next request on the connection. */
  @Test(dataProvider = "copies")
  public void copyBeforeResponseIsNobodysAnswer(String route, String copy) throws Exception {
    String first = "HTTP/1.1 200 OK\r\n|Content-Length: 0\r\n\r\n";
    try (RawUpstream upstream =
        new RawUpstream(
            (connection, number, request) -> {
              String own = response(first, request.get("request-id"));
              boolean sendsCopy = connection == 1 && number == 2;
              return sendsCopy ? response(copy, "r1") + own : own;
            })) {
      server().announce("u1", upstream.address());
      assertEquals(server().post("/" + route + "/x", "r1").statusCode(), 200);
      assertNotAnsweredBy("r1", server().post("/" + route + "/x", "r2"));
    }
  }

  /** The connection ends right behind the head of the copy. */
  @Test(dataProvider = "copies")
  public void copyAtTheEndOfItsConnectionIsNobodysAnswer(String route, String copy)
      throws Exception {
    try (RawUpstream upstream =
        new RawUpstream(
            (connection, number, request) ->
                connection == 1 && number == 2
                    ? response(copy, "r1").replaceFirst("\r\n", "\r\nConnection: close\r\n")
                    : response(RESPONSES.get(0), request.get("request-id")))) {
      server().announce("u1", upstream.address());
      assertEquals(server().post("/" + route + "/x", "r1").statusCode(), 200);
      assertNotAnsweredBy("r1", server().post("/" + route + "/x", "r2"));
    }
  }

  /** A success without an id and without a body belongs to nobody. */
  @Test(dataProvider = "copies")
  public void successWithoutIdIsNobodysAnswer(String route, String text) throws Exception {
    if (!text.startsWith("HTTP/1.1 20")) {
      return;
    }
    try (RawUpstream upstream =
        new RawUpstream((connection, number, request) -> response(text, NO_ID))) {
      server().announce("u1", upstream.address());
      assertEquals(server().post("/" + route + "/x", "r1").statusCode(), 502);
    }
  }

  @Test
  public void copyOfAnAnswerToHeadIsNobodysAnswer() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream(
            (connection, number, request) -> {
              String id = connection == 1 && number == 2 ? "r1" : request.get("request-id");
              return response("HTTP/1.1 200 OK\r\n|Content-Length: 4\r\n\r\n", id);
            })) {
      server().announce("u1", upstream.address());
      for (String id : List.of("r1", "r2")) {
        HttpRequest request =
            server()
                .request("/safe/x", id)
                .method("HEAD", HttpRequest.BodyPublishers.noBody())
                .build();
        HttpResponse<String> response = server().send(request);
        if (id.equals("r2")) {
          assertNotAnsweredBy("r1", response);
        }
      }
    }
  }

  /** A copy that lies on an idle connection before the next request is written. */
  @Test(dataProvider = "copies")
  public void copyOnIdleConnectionIsNobodysAnswer(String route, String copy) throws Exception {
    try (RawUpstream upstream =
        new RawUpstream(
            (connection, number, request) -> {
              String own = response(RESPONSES.get(0), request.get("request-id"));
              return connection == 1 && number == 1 ? own + response(copy, "r1") : own;
            })) {
      server().announce("u1", upstream.address());
      assertEquals(server().post("/" + route + "/x", "r1").statusCode(), 200);
      pause(50);
      assertNotAnsweredBy("r1", server().post("/" + route + "/x", "r2"));
    }
  }

  /** A request whose answer was foreign was sent and may have run. */
  @Test
  public void foreignResponseIsNeverReportedAsNotRun() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream((connection, number, request) -> response(RESPONSES.get(0), "another"))) {
      server().announce("u1", upstream.address());
      server().announce("u2", upstream.address());
      assertEquals(server().post("/once/x", "r1").statusCode(), 502);
      assertEquals(upstream.workRequests(), 1);
    }
  }
}
