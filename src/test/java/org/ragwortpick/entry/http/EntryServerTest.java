package org.ragwortpick.entry.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.undertow.server.handlers.BlockingHandler;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.ragwortpick.common.Json;
import org.ragwortpick.entry.EntryFakes;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against wrong responses, untyped errors and missing metrics of caller requests. */
public final class EntryServerTest {

  private EntryTestServer entry;

  @BeforeMethod
  public void start() throws Exception {
    entry = new EntryTestServer();
    entry.upstream("enc-1", "encoder", TestUpstreams.responding(200, "{\"output\":[1,2]}"));
    entry.upstream("eng-1", "engine", TestUpstreams.engine(3));
    entry.upstream("book-1", "booking", TestUpstreams.responding(201, "{\"booked\":true}"));
    entry.upstream("stock-1", "stock", TestUpstreams.responding(200, "{\"left\":4}"));
  }

  @AfterMethod
  public void stop() {
    entry.close();
  }

  private HttpResponse<String> send(HttpRequest request) throws Exception {
    return entry.send(request);
  }

  @Test
  public void pipelineResponseHasOutputAndCost() throws Exception {
    HttpResponse<String> response =
        send(entry.post("/v1/pipelines/answer", "{\"input\":\"q\",\"prompt\":\"p\"}"));
    assertEquals(response.statusCode(), 200, response.body());
    JsonNode json = Json.MESSAGES.readTree(response.body());
    assertEquals(json.get("output").asText(), "t0 t1 t2 ");
    assertEquals(json.get("stages").get(1).get("tokens").asInt(), 3);
    assertEquals(json.get("stages").get(0).get("attempts").asInt(), 1);
  }

  @Test
  public void pipelineStreamsTokens() throws Exception {
    HttpRequest request =
        entry
            .request("/v1/pipelines/answer")
            .header("Accept", "text/event-stream")
            .POST(HttpRequest.BodyPublishers.ofString("{\"input\":1}"))
            .build();
    String body = send(request).body();
    assertTrue(body.contains("data: {\"offset\":2,\"text\":\"t2 \"}"), body);
    assertTrue(body.contains("event: done"), body);
  }

  @Test
  public void streamThatCannotResumeEndsWithErrorEvent() throws Exception {
    entry.fakes().turnOff(EntryFakes.Condition.RETRIES);
    entry.upstream(
        "eng-1",
        "engine",
        new BlockingHandler(
            exchange -> {
              OutputStream out = TestUpstreams.startStream(exchange);
              TestUpstreams.token(out, 0);
              TestUpstreams.token(out, 2);
            }));
    HttpRequest request =
        entry
            .request("/v1/pipelines/answer")
            .header("Accept", "text/event-stream")
            .POST(HttpRequest.BodyPublishers.ofString("{}"))
            .build();
    String body = send(request).body();
    assertTrue(body.startsWith("event: token\ndata: {\"offset\":0,"), body);
    assertTrue(body.contains("event: error\ndata: {\"error\":\"StageFailed\""), body);
    assertEquals(body.split("event: ").length, 3, body);
  }

  @Test
  public void repeatedBookingGetsRecordedResponse() throws Exception {
    HttpRequest request =
        entry
            .request("/v1/services/booking")
            .header("Idempotency-Key", "k1")
            .POST(HttpRequest.BodyPublishers.ofString("{}"))
            .build();
    for (int i = 0; i < 2; i++) {
      HttpResponse<String> response = send(request);
      assertEquals(response.statusCode(), 201);
      assertEquals(response.body(), "{\"booked\":true}");
    }
    JsonNode status =
        Json.MESSAGES.readTree(send(entry.request("/v1/calls/k1").GET().build()).body());
    assertEquals(status.get("execution").asText(), "done");
  }

  @Test
  public void requestsAreCountedByOutcome() throws Exception {
    send(entry.post("/v1/services/stock", "{}"));
    entry.fakes().turnOff(EntryFakes.Condition.ADMITS);
    assertEquals(send(entry.post("/v1/services/stock", "{}")).statusCode(), 429);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    PrometheusTextFormatWriter.create().write(out, entry.registry().scrape());
    String text = out.toString(StandardCharsets.UTF_8);
    String labels = "target=\"stock\",workspace=\"w1\"} 1.0\n";
    for (String outcome : List.of("Overloaded", "ok")) {
      String line = "ragwortpick_requests_total{outcome=\"" + outcome + "\"," + labels;
      assertTrue(text.contains(line), text);
    }
    assertTrue(text.contains("ragwortpick_requests_in_flight 0.0\n"), text);
  }

  @Test
  public void idempotentCallForwardsResponseOfService() throws Exception {
    HttpResponse<String> response = send(entry.post("/v1/services/stock", "{}"));
    assertEquals(response.body(), "{\"left\":4}");
    assertTrue(response.headers().firstValue("Stage-Cost").orElse("").contains("\"attempts\":1"));
  }

  @Test
  public void addressesAndAnnouncementsAreServed() throws Exception {
    String announcement =
        "{\"id\":\"enc-2\",\"incarnation\":1,\"sequence\":1,\"address\":\"10.0.0.4:80\","
            + "\"dataCentre\":\"dc-1\",\"service\":\"encoder\",\"state\":\"ready\",\"slots\":4,"
            + "\"coldLimit\":1,\"load\":0}";
    assertEquals(send(entry.post("/v1/announcements", announcement)).statusCode(), 200);
    assertTrue(entry.fakes().find("enc-2").isPresent());
    assertEquals(
        send(entry.request("/v1/addresses").GET().build()).body(),
        "{\"addresses\":[\"10.0.0.9:8080\"],\"validForSeconds\":3}");
  }
}
