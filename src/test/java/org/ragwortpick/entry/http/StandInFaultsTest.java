package org.ragwortpick.entry.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.Json;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.config.ServiceKind;
import org.ragwortpick.entry.EntryFakes;
import org.ragwortpick.standin.StandInFile;
import org.ragwortpick.standin.StandInProcess;
import org.ragwortpick.standin.UpstreamSpec;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against stand-ins whose cut responses or harmful prompts get past the product. */
public final class StandInFaultsTest {

  private static final int ENGINES = 4;
  private static final int REQUESTS = 40;

  private final List<HostPort> engines = new ArrayList<>();
  private EntryTestServer entry;
  private StandInProcess standIns;

  @BeforeMethod
  public void start() throws Exception {
    engines.clear();
    entry = new EntryTestServer();
    entry.upstream("enc-1", "encoder", TestUpstreams.responding(200, "{\"output\":[1]}"));
    List<UpstreamSpec> specs = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      HostPort address = freeAddress();
      engines.add(address);
      specs.add(spec("engine-" + i, address));
      entry.fakes().announce(EntryFakes.upstream("engine-" + i, address, "engine", "dc-1"));
    }
    HostPort nobody = new HostPort("127.0.0.1", 1);
    standIns = new StandInProcess(new StandInFile(List.of(nobody), specs), new MonotonicClock(), 1);
  }

  @AfterMethod
  public void stop() {
    standIns.close();
    entry.close();
  }

  private static HostPort freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return new HostPort("127.0.0.1", socket.getLocalPort());
    }
  }

  private static UpstreamSpec spec(String id, HostPort address) {
    return new UpstreamSpec(
        id,
        ServiceKind.ENGINE,
        "engine",
        "dc-1",
        address,
        8,
        8,
        0,
        2,
        1,
        "m",
        "1",
        List.of(),
        true,
        0);
  }

  private void applyFault(String name, long value) throws Exception {
    for (HostPort engine : engines) {
      applyFault(engine, name, value);
    }
  }

  private HttpResponse<String> run(String prompt) throws Exception {
    return entry.send(
        entry.post("/v1/pipelines/answer", "{\"input\":{},\"prompt\":\"" + prompt + "\"}"));
  }

  private long executed() throws Exception {
    long sum = 0;
    for (HostPort engine : engines) {
      sum += report(engine).path("executed").asLong();
    }
    return sum;
  }

  private static JsonNode report(HostPort engine) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + engine + "/stand-in/report")).build();
    return Json.MESSAGES.readTree(
        HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString()).body());
  }

  @Test
  public void cutStreamsNeverReachCallerAsWhole() throws Exception {
    HttpResponse<String> whole = run("p");
    assertEquals(whole.statusCode(), 200, whole.body());
    JsonNode expected = Json.MESSAGES.readTree(whole.body()).get("output");
    applyFault("cut", 50);
    int answered = 0;
    for (int i = 0; i < 20; i++) {
      HttpResponse<String> response = run("p");
      if (response.statusCode() == 200) {
        answered++;
        assertEquals(Json.MESSAGES.readTree(response.body()).get("output"), expected);
      }
    }
    assertTrue(answered > 0, "no request was answered");
  }

  @Test
  public void harmfulPromptReachesTwoUpstreamsAtMost() throws Exception {
    applyFault("harmful", 60_000);
    assertTrue(run("harmful p").statusCode() >= 500);
    assertEquals(executed(), 2);
    assertEquals(run("p").statusCode(), 200);
  }

  private void applyFault(HostPort engine, String name, long value) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + engine + "/stand-in/faults/" + name))
            .POST(HttpRequest.BodyPublishers.ofString("{\"value\":" + value + "}"))
            .build();
    HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding());
  }

  @Test
  public void upstreamThatStatesItIsLeavingGetsOneRequestAtMost() throws Exception {
    applyFault(engines.get(0), "say-leaving", 0);
    for (int i = 0; i < REQUESTS; i++) {
      assertEquals(run("p").statusCode(), 200);
    }
    assertTrue(
        report(engines.get(0)).path("executed").asLong() <= 1,
        report(engines.get(0)).path("executed").asLong() + " requests");
    assertEquals(executed(), REQUESTS);
  }

  @Test
  public void pausedUpstreamGetsOneRequestAtMostInItsRetryTime() throws Exception {
    applyFault(engines.get(0), "pause", 60_000);
    for (int i = 0; i < REQUESTS; i++) {
      assertEquals(run("p").statusCode(), 200);
    }
    assertTrue(
        report(engines.get(0)).path("refusalsInPause").asLong() <= 1,
        report(engines.get(0)).path("refusalsInPause").asLong() + " requests");
  }
}
