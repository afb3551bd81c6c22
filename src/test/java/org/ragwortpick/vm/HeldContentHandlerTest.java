package org.ragwortpick.vm;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.Undertow;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import org.ragwortpick.common.Json;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.policy.quarantine.ContentQuarantine;
import org.ragwortpick.policy.quarantine.RequestContent;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.directory.SoftTable;
import org.ragwortpick.sync.directory.SyncedCrashEvidence;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against operators who cannot see or release the parts that are held back. */
public final class HeldContentHandlerTest {

  private Undertow server;
  private String base;

  @BeforeMethod
  public void start() {
    ManualClock clock = new ManualClock();
    ContentQuarantine quarantine =
        new ContentQuarantine(
            new SyncedCrashEvidence("vm", new SoftTable(), () -> {}),
            "vm",
            () -> List.of("vm"),
            clock);
    for (int i = 1; i <= 3; i++) {
      quarantine.recordCrash(
          TestUpstreams.upstream("u" + i, "s1", i), RequestContent.ofParts(List.of("bad")));
      clock.advanceMs(1_000);
    }
    server =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setHandler(
                new HeldContentHandler(quarantine, clock, exchange -> exchange.setStatusCode(418)))
            .build();
    server.start();
    InetSocketAddress address = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    base = "http://127.0.0.1:" + address.getPort();
  }

  @AfterMethod
  public void stop() {
    server.stop();
  }

  private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
    return HttpClient.newHttpClient().send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private JsonNode held() throws Exception {
    HttpResponse<String> response =
        send(HttpRequest.newBuilder(URI.create(base + "/held-content")).GET());
    return Json.MESSAGES.readTree(response.body()).get("heldContent");
  }

  private int release(String body) throws Exception {
    return send(HttpRequest.newBuilder(URI.create(base + "/held-content/release"))
            .POST(HttpRequest.BodyPublishers.ofString(body)))
        .statusCode();
  }

  @Test
  public void heldPartIsListedAndReleased() throws Exception {
    JsonNode part = held().get(0);
    assertEquals(part.get("service").asText(), "s1");
    assertEquals(part.get("content").asText(), "bad");
    assertEquals(part.get("crashes").asInt(), 3);
    assertEquals(part.get("heldMs").asLong(), 1_000);
    assertEquals(release("{\"service\":\"s1\",\"content\":\"other\"}"), 404);
    assertEquals(release("no JSON"), 400);
    assertEquals(release("{\"service\":\"s1\",\"content\":\"bad\"}"), 200);
    assertEquals(held().size(), 0);
  }

  @Test
  public void pathsAndNamesOfEarlierReleasesStillWork() throws Exception {
    HttpResponse<String> listed =
        send(HttpRequest.newBuilder(URI.create(base + "/held-parts")).GET());
    JsonNode parts = Json.MESSAGES.readTree(listed.body()).get("heldParts");
    assertEquals(parts.get(0).get("part").asText(), "bad");
    HttpRequest.Builder release =
        HttpRequest.newBuilder(URI.create(base + "/held-parts/release"))
            .POST(HttpRequest.BodyPublishers.ofString("{\"service\":\"s1\",\"part\":\"bad\"}"));
    assertEquals(send(release).statusCode(), 200);
    assertEquals(held().size(), 0);
  }

  @Test
  public void otherPathsReachNextHandler() throws Exception {
    assertEquals(send(HttpRequest.newBuilder(URI.create(base + "/ready")).GET()).statusCode(), 418);
  }
}
