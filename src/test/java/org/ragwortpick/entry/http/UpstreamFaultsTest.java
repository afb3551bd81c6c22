package org.ragwortpick.entry.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.Json;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.entry.EntryFakes;
import org.ragwortpick.ledger.ExecutionKey;
import org.ragwortpick.ledger.ExecutionState;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against connection faults that reach the caller or fail a request that can continue. */
public final class UpstreamFaultsTest {

  private static final HostPort UNREACHABLE_ADDRESS = new HostPort("127.0.0.1", 1);

  private EntryTestServer entry;

  @BeforeMethod
  public void start() throws Exception {
    entry = new EntryTestServer();
    entry.upstream("enc-1", "encoder", TestUpstreams.responding(200, "{\"output\":[1]}"));
  }

  @AfterMethod
  public void stop() {
    entry.close();
  }

  private JsonNode runPipeline() throws Exception {
    HttpResponse<String> response = entry.send(entry.post("/v1/pipelines/answer", "{}"));
    assertEquals(response.statusCode(), 200, response.body());
    return Json.MESSAGES.readTree(response.body());
  }

  private void announce(String id, HostPort address, String service) {
    entry.fakes().announce(EntryFakes.upstream(id, address, service, "dc-1"));
  }

  private HttpResponse<String> book(String key) throws Exception {
    return entry.send(
        entry
            .request("/v1/services/booking")
            .header("Idempotency-Key", key)
            .POST(HttpRequest.BodyPublishers.ofString("{}"))
            .build());
  }

  @Test
  public void stalledConnectionIsReplacedAndUpstreamStaysUsable() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream(
            (connection, request, headers) ->
                connection == 1 && request > 1 ? "" : RawUpstream.response(headers, "", "{}"))) {
      announce("stock-1", upstream.address(), "stock");
      assertEquals(entry.send(entry.post("/v1/services/stock", "{}")).statusCode(), 200);
      HttpResponse<String> second = entry.send(entry.post("/v1/services/stock", "{}"));
      assertEquals(second.statusCode(), 200, second.body());
      assertTrue(second.headers().firstValue("Stage-Cost").get().contains("\"attempts\":2"));
    }
  }

  @Test
  public void staleIdleConnectionIsNotReused() throws Exception {
    ManualClock clock = new ManualClock();
    try (EntryTestServer server = new EntryTestServer(clock);
        RawUpstream upstream =
            new RawUpstream(
                (connection, request, headers) ->
                    RawUpstream.response(headers, "", String.valueOf(connection)))) {
      server.fakes().announce(EntryFakes.upstream("s", upstream.address(), "stock", "dc-1"));
      HttpRequest call = server.post("/v1/services/stock", "{}");
      assertEquals(server.send(call).body(), "1");
      clock.advanceMs(EntryTestServer.SETTINGS.staleAfterMs() - 1);
      assertEquals(server.send(call).body(), "1");
      clock.advanceMs(EntryTestServer.SETTINGS.staleAfterMs());
      assertEquals(server.send(call).body(), "2");
    }
  }

  @Test
  public void connectionClosedWhileIdleCostsNoAttempt() throws Exception {
    entry.fakes().turnOff(EntryFakes.Condition.RETRIES);
    try (RawUpstream upstream =
        new RawUpstream(
            (connection, request, headers) ->
                // Closes without a Connection header, as an upstream does after its idle timeout.
                RawUpstream.response(headers, "X-Note: Connection: close\r\n", "{}"))) {
      announce("stock-1", upstream.address(), "stock");
      assertEquals(entry.send(entry.post("/v1/services/stock", "{}")).statusCode(), 200);
      CompletableFuture<Void> pause = new CompletableFuture<>();
      pause.completeOnTimeout(null, 100, TimeUnit.MILLISECONDS).join();
      assertEquals(entry.send(entry.post("/v1/services/stock", "{}")).statusCode(), 200);
    }
  }

  @Test
  public void truncatedStreamIsResumedAtOffset() throws Exception {
    try (RawUpstream engine =
        new RawUpstream(
            (connection, request, headers) -> {
              return RawUpstream.head(headers, "Connection: close\r\nContent-Length: 9999\r\n")
                  + "event: token\ndata: {\"offset\":0,\"text\":\"t0 \"}\n\n"
                  + "event: token\ndata: {\"offset\":1,\"te";
            })) {
      announce("eng-0", engine.address(), "engine");
      entry.upstream("eng-1", "engine", TestUpstreams.engine(4));
      JsonNode response = runPipeline();
      assertEquals(response.get("output").asText(), "t0 t1 t2 t3 ");
      assertEquals(response.get("stages").get(1).get("attempts").asInt(), 2);
      assertEquals(engine.workRequests(), 1);
    }
  }

  @Test
  public void refusedConnectionCostsNoAttempt() throws Exception {
    announce("eng-0", UNREACHABLE_ADDRESS, "engine");
    entry.upstream("eng-1", "engine", TestUpstreams.engine(2));
    entry.fakes().turnOff(EntryFakes.Condition.RETRIES);
    JsonNode response = runPipeline();
    assertEquals(response.get("stages").get(1).get("attempts").asInt(), 1);

    announce("book-0", UNREACHABLE_ADDRESS, "booking");
    entry.upstream("book-1", "booking", TestUpstreams.responding(503, "{\"full\":true}"));
    HttpResponse<String> booked = book("k1");
    assertEquals(booked.statusCode(), 503, "the response of a service is forwarded");
    assertEquals(booked.body(), "{\"full\":true}");
    assertEquals(booked.headers().firstValue("Execution").get(), "done");
  }

  @Test
  public void bookingWithoutReachableUpstreamIsNotRun() throws Exception {
    announce("book-0", UNREACHABLE_ADDRESS, "booking");
    HttpResponse<String> response = book("k1");
    assertEquals(response.statusCode(), 503);
    assertEquals(Json.MESSAGES.readTree(response.body()).get("execution").asText(), "not_run");
    assertEquals(entry.ledger().state(new ExecutionKey("w1", "k1")), ExecutionState.NOT_RUN);
  }

  @Test
  public void bookingWithLostResponseIsUnknownAndNotRetried() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream(
            (connection, request, headers) ->
                RawUpstream.head(headers, "Connection: close\r\nContent-Length: 10\r\n"))) {
      announce("book-0", upstream.address(), "booking");
      announce("book-1", upstream.address(), "booking");
      for (int i = 0; i < 2; i++) {
        HttpResponse<String> response = book("k/1?%+");
        assertEquals(response.statusCode(), 202, response.body());
        JsonNode body = Json.MESSAGES.readTree(response.body());
        assertEquals(body.get("execution").asText(), "unknown");
        HttpRequest status = entry.request(body.get("statusPath").asText()).GET().build();
        JsonNode state = Json.MESSAGES.readTree(entry.send(status).body());
        assertEquals(state.get("state").asText(), "UNKNOWN");
      }
      assertEquals(upstream.workRequests(), 1);
    }
  }

  /** Returns a response whose body ends with its connection. */
  private static String unframed(Map<String, String> request, String body) {
    return RawUpstream.head(request, "Connection: close\r\n") + body;
  }

  @Test
  public void truncatedUnframedResponseOfBookingIsNotRecorded() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream((connection, request, headers) -> unframed(headers, "{\"booked\":tr"))) {
      announce("book-0", upstream.address(), "booking");
      for (int i = 0; i < 2; i++) {
        HttpResponse<String> response = book("k1");
        assertEquals(response.statusCode(), 202, response.body());
      }
      assertEquals(upstream.workRequests(), 1);
    }
  }

  @Test
  public void truncatedUnframedResponseOfIdempotentServiceIsRepeated() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream((connection, request, headers) -> unframed(headers, "{\"left\":"))) {
      announce("stock-0", upstream.address(), "stock");
      entry.upstream("stock-1", "stock", TestUpstreams.responding(200, "{\"left\":1}"));
      for (int i = 0; i < 4; i++) {
        HttpResponse<String> response = entry.send(entry.post("/v1/services/stock", "{}"));
        assertEquals(response.body(), "{\"left\":1}");
      }
    }
  }

  @Test
  public void wholeUnframedResponseIsPassedOn() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream((connection, request, headers) -> unframed(headers, "{\"booked\":true}"))) {
      announce("book-0", upstream.address(), "booking");
      HttpResponse<String> response = book("k1");
      assertEquals(response.body(), "{\"booked\":true}");
      assertEquals(response.headers().firstValue("Execution").get(), "done");
    }
  }

  @Test
  public void malformedAndForeignResponsesAreDiscarded() throws Exception {
    try (RawUpstream garbage =
            new RawUpstream((connection, request, headers) -> "220 mail ready\r\n");
        RawUpstream foreign =
            new RawUpstream(
                (connection, request, headers) -> {
                  headers.put("request-id", "another");
                  return RawUpstream.response(headers, "", "{\"output\":\"foreign\"}");
                })) {
      announce("stock-0", garbage.address(), "stock");
      announce("stock-1", foreign.address(), "stock");
      entry.upstream("stock-2", "stock", TestUpstreams.responding(200, "{\"left\":1}"));
      HttpResponse<String> response = entry.send(entry.post("/v1/services/stock", "{}"));
      assertEquals(response.body(), "{\"left\":1}");
      assertEquals(garbage.workRequests(), 1);
    }
  }

  /** Guards against a response without a valid status that is recorded as the result of a run. */
  @Test
  public void bookingWithInvalidStatusIsUnknown() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream(
            (connection, request, headers) ->
                RawUpstream.response(headers, "", "{\"booked\":1}")
                    .replace("200 OK", "000 Trouble"))) {
      announce("book-1", upstream.address(), "booking");
      HttpResponse<String> response = book("k1");
      assertEquals(response.statusCode(), 202, response.body());
    }
  }

  @Test
  public void workForDisconnectedCallerIsCancelled() throws Exception {
    CompletableFuture<Map<String, String>> started = new CompletableFuture<>();
    CompletableFuture<String> cancelled = new CompletableFuture<>();
    try (RawUpstream upstream =
        new RawUpstream(
            (connection, request, headers) -> {
              if (headers.get("path").equals("/v1/cancel")) {
                cancelled.complete(headers.get("body"));
                return RawUpstream.response(headers, "", "{}");
              }
              started.complete(headers);
              return "";
            })) {
      announce("stock-0", upstream.address(), "stock");
      try (Socket caller = connect("/v1/services/stock", "{}")) {
        started.get(2, TimeUnit.SECONDS);
      }
      JsonNode cancel = Json.MESSAGES.readTree(cancelled.get(2, TimeUnit.SECONDS));
      Map<String, String> request = started.get();
      assertEquals(cancel.get("requestId").asText(), request.get("request-id"));
      assertEquals(cancel.get("attempt").asText(), request.get("attempt"));
      entry.server().whenIdle().toCompletableFuture().get(2, TimeUnit.SECONDS);
      assertEquals(entry.fakes().slotsInUse(), 0);
      assertEquals(upstream.workRequests(), 1, "nothing is retried for a disconnected caller");
    }
  }

  private Socket connect(String path, String body) throws IOException {
    HostPort address = entry.server().address();
    Socket socket = new Socket(address.host(), address.port());
    String head = "POST " + path + " HTTP/1.1\r\nHost: x\r\nWorkspace: w1\r\nContent-Length: ";
    socket
        .getOutputStream()
        .write((head + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  /** Polls, since the count drops only after the caller has read its response. */
  private void awaitInFlight(int expected) throws Exception {
    for (int polls = 0; polls < 100 && entry.server().inFlight() != expected; polls++) {
      new CompletableFuture<Void>().completeOnTimeout(null, 10, TimeUnit.MILLISECONDS).get();
    }
    assertEquals(entry.server().inFlight(), expected);
  }

  @Test
  public void gracefulStopCompletesRequestsInFlight() throws Exception {
    CompletableFuture<Void> started = new CompletableFuture<>();
    CompletableFuture<Void> proceed = new CompletableFuture<>();
    try (RawUpstream upstream =
        new RawUpstream(
            (connection, request, headers) -> {
              started.complete(null);
              proceed.join();
              return RawUpstream.response(headers, "", "{\"left\":2}");
            })) {
      announce("stock-0", upstream.address(), "stock");
      CompletableFuture<HttpResponse<String>> running =
          entry.sendAsync(entry.post("/v1/services/stock", "{}"));
      started.get(2, TimeUnit.SECONDS);
      entry.fakes().turnOff(EntryFakes.Condition.STARTS_WORK);
      HttpResponse<String> refused = entry.send(entry.post("/v1/services/stock", "{}"));
      assertEquals(refused.statusCode(), 503);
      assertEquals(
          refused.body(),
          "{\"error\":\"Draining\",\"message\":\"this VM is about to stop\",\"remedy\":\"send the"
              + " request to one of the addresses\",\"execution\":\"not_run\","
              + "\"addresses\":[\"10.0.0.9:8080\"]}");
      entry.server().stop();
      CompletableFuture<Void> idle = entry.server().whenIdle().toCompletableFuture();
      awaitInFlight(1);
      assertFalse(idle.isDone());
      proceed.complete(null);
      assertEquals(running.get(2, TimeUnit.SECONDS).body(), "{\"left\":2}");
      idle.get(2, TimeUnit.SECONDS);
    }
  }
}
