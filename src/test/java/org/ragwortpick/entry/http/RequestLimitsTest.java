package org.ragwortpick.entry.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.Json;
import org.ragwortpick.entry.EntryFakes;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests beyond the limits that run, or are refused without a typed error. */
public final class RequestLimitsTest {

  private static final String TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736";

  private EntryTestServer entry;

  @BeforeClass
  public void start() throws Exception {
    entry = new EntryTestServer();
    entry.upstream("stock-1", "stock", TestUpstreams.responding(200, "{\"left\":4}"));
  }

  @AfterClass
  public void stop() {
    entry.close();
  }

  @DataProvider
  Object[][] refusals() {
    String large = "x".repeat(EntryTestServer.SETTINGS.maxBodyBytes() + 1);
    return new Object[][] {
      {"/v1/pipelines/absent", "w1", "100", "{}", 404, "UnknownName"},
      {"/v1/pipelines/answer", "absent", "100", "{}", 404, "UnknownName"},
      {"/v1/services/absent", "w1", "100", "{}", 404, "UnknownName"},
      {"/v1/services/stock", "absent", "100", "{}", 404, "UnknownName"},
      {"/v1/services/booking", "w1", "100", "{}", 400, "IdempotencyKeyMissing"},
      {"/v1/pipelines/answer", "w1", "0", "{}", 400, "BadDeadline"},
      {"/v1/pipelines/answer", "w1", "-5", "{}", 400, "BadDeadline"},
      {"/v1/pipelines/answer", "w1", "60001", "{}", 400, "BadDeadline"},
      {"/v1/pipelines/answer", "w1", "soon", "{}", 400, "BadDeadline"},
      {"/v1/pipelines/answer", "w1", "9".repeat(40), "{}", 400, "BadDeadline"},
      {"/v1/pipelines/answer", "w".repeat(201), "100", "{}", 400, "BadHeader"},
      {"/v1/pipelines/answer", "w 1", "100", "{}", 400, "BadHeader"},
      {"/v1/pipelines/answer", "w1", "100", "{\"input\":", 400, "Malformed"},
      {"/v1/pipelines/answer", "w1", "100", "[]", 400, "Malformed"},
      {"/v1/pipelines/answer", "w1", "100", "{\"maxTokens\":-1}", 400, "Malformed"},
      {"/v1/pipelines/answer", "w1", "100", large, 413, "BodyTooLarge"},
      {"/v1/announcements", "w1", "100", "{\"id\":\"x\"}", 400, "Malformed"},
      {"/v1/other", "w1", "100", "{}", 404, "NoSuchResource"},
    };
  }

  @Test(dataProvider = "refusals")
  public void invalidRequestIsRefusedWithRemedy(
      String path, String workspace, String deadline, String body, int status, String kind)
      throws Exception {
    HttpResponse<String> response =
        entry.send(
            HttpRequest.newBuilder(entry.request(path).build().uri())
                .header("Workspace", workspace)
                .header("Deadline-Ms", deadline)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build());
    assertEquals(response.statusCode(), status, response.body());
    JsonNode error = Json.MESSAGES.readTree(response.body());
    assertEquals(error.get("error").asText(), kind);
    assertTrue(!error.get("remedy").asText().isEmpty());
    assertEquals(error.get("execution").asText(), "not_run");
  }

  @Test
  public void truncatedBodyIsRefused() throws Exception {
    String response = exchange("Content-Length: 50\r\n\r\n{\"input\"", true);
    assertTrue(response.startsWith("HTTP/1.1 408 "), response);
    assertTrue(response.contains("\"IncompleteBody\""), response);
    assertTrue(response.contains("\"not_run\""), response);
  }

  @Test
  public void connectionIsClosedIfBodyTimesOut() throws Exception {
    assertEquals(exchange("Content-Length: 50\r\n\r\n{\"input\"", false), "");
    entry.server().whenIdle().toCompletableFuture().get(2, TimeUnit.SECONDS);
  }

  @Test
  public void chunkedBodyOverTheLimitIsRefused() throws Exception {
    String chunk = "8000\r\n" + "x".repeat(0x8000) + "\r\n";
    String response =
        exchange("Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk + chunk + "0\r\n\r\n", false);
    assertTrue(response.startsWith("HTTP/1.1 413"), response);
  }

  @Test
  public void pipelinedRequestsAreServed() throws Exception {
    String request =
        "Content-Length: 2\r\n\r\n{}"
            + "POST /v1/services/stock HTTP/1.1\r\nHost: x\r\nWorkspace: w1\r\n"
            + "Connection: close\r\nContent-Length: 2\r\n\r\n{}";
    String response = exchange(request, false);
    assertEquals(response.split("\\{\"left\":4\\}", -1).length, 3, response);
  }

  private String exchange(String afterHead, boolean endOutput) throws Exception {
    HostPort address = entry.server().address();
    try (Socket socket = new Socket(address.host(), address.port())) {
      String head = "POST /v1/services/stock HTTP/1.1\r\nHost: x\r\nWorkspace: w1\r\n";
      socket.getOutputStream().write((head + afterHead).getBytes(StandardCharsets.US_ASCII));
      if (endOutput) {
        socket.shutdownOutput();
      }
      socket.setSoTimeout(3_000);
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
  }

  @Test
  public void traceContextReachesAllHops() throws Exception {
    entry.send(
        entry
            .request("/v1/services/stock")
            .header("traceparent", "00-" + TRACE_ID + "-00f067aa0ba902b7-01")
            .POST(HttpRequest.BodyPublishers.ofString("{}"))
            .build());
    long spans = entry.spans().stream().filter(span -> span.contains(TRACE_ID)).count();
    assertEquals(spans, 2, "one span of the request and one of the call");
  }

  @Test
  public void requestThatCannotMeetDeadlineIsRefused() throws Exception {
    entry.fakes().turnOff(EntryFakes.Condition.FINISHES_IN_TIME);
    HttpResponse<String> response = entry.send(entry.post("/v1/pipelines/answer", "{}"));
    entry.fakes().turnOn(EntryFakes.Condition.FINISHES_IN_TIME);
    assertEquals(response.statusCode(), 503);
    assertTrue(response.body().contains("\"DeadlineTooShort\""), response.body());
    assertTrue(response.body().contains("\"not_run\""), response.body());
  }

  @Test
  public void callIsRefusedIfConfigurationIsNotInForce() throws Exception {
    entry.fakes().turnOff(EntryFakes.Condition.IN_FORCE);
    HttpResponse<String> response = entry.send(entry.post("/v1/services/stock", "{}"));
    entry.fakes().turnOn(EntryFakes.Condition.IN_FORCE);
    assertEquals(response.statusCode(), 503);
    assertTrue(response.body().contains("\"NotInForce\""), response.body());
    assertTrue(response.body().contains("10.0.0.9:8080"), response.body());
  }
}
