package org.ragwortpick.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.Json;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.config.ServiceKind;
import org.ragwortpick.standin.StandInFile;
import org.ragwortpick.standin.StandInProcess;
import org.ragwortpick.standin.UpstreamSpec;

/**
 * Deployment of three control VMs and two entry VMs in processes of their own, with the stand-ins
 * of the upstreams in the test process.
 */
final class DeploymentUnderTest implements AutoCloseable {

  private static final long POLL_NANOS = 50_000_000L;
  private static final String[] DATA_CENTRES = {"a", "b", "c"};

  /** Folder of settings, logs and data, which stay after a failure. */
  private static final Path FOLDERS = Path.of("target", "deployments").toAbsolutePath();

  private final Path folder;
  private final List<VmUnderTest> vms = new ArrayList<>();
  private final List<UpstreamSpec> specs = new ArrayList<>();
  private final MonotonicClock clock = new MonotonicClock();
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(500))
          .build();
  private final StandInProcess standIns;

  DeploymentUnderTest() throws IOException, InterruptedException {
    Files.createDirectories(FOLDERS);
    folder = Files.createTempDirectory(FOLDERS, "deployment");
    for (int i = 0; i < 5; i++) {
      vms.add(createVm(folder, i));
    }
    for (int i = 0; i < DATA_CENTRES.length; i++) {
      specs.add(spec("booking", ServiceKind.PLAIN, i, 1, 300, 0));
      specs.add(spec("search", ServiceKind.RETRIEVER, i, 2, 20, 0));
      specs.add(spec("lm", ServiceKind.ENGINE, i, 3, 40, 10));
    }
    List<HostPort> entries = vms.stream().map(VmUnderTest::callerAddress).toList();
    standIns = new StandInProcess(new StandInFile(entries, specs), clock, 1);
    vms.get(0).bootstrap();
    for (VmUnderTest vm : vms) {
      vm.start();
    }
  }

  private static VmUnderTest createVm(Path folder, int index) throws IOException {
    boolean control = index < DATA_CENTRES.length;
    String name = (control ? "control-" : "entry-") + index;
    Path settings = folder.resolve(name + ".json");
    StringBuilder text = new StringBuilder("{");
    text.append("\"logLevel\":\"DEBUG\",\"vm\":\"" + name + "\",\"clusterId\":\"test\",");
    text.append("\"dataCentre\":\"" + DATA_CENTRES[index % 3] + "\",");
    text.append("\"roles\":[\"entry\"" + (control ? ",\"control\"" : "") + "],");
    text.append("\"callerAddress\":\"" + ip(index) + ":7100\",");
    text.append("\"adminAddress\":\"" + ip(index) + ":7200\",");
    text.append("\"peerAddress\":\"" + ip(index) + ":7300\",");
    text.append(control ? "\"dataFolder\":\"data-" + name + "\"," : "");
    text.append("\"controlVms\":[");
    for (int i = 0; i < DATA_CENTRES.length; i++) {
      text.append(
          "{\"vm\":\"control-%d\",\"dataCentre\":\"%s\",\"peerAddress\":\"%s:7300\"},"
              .formatted(i, DATA_CENTRES[i], ip(i)));
    }
    Files.writeString(settings, text.append("]}"));
    return new VmUnderTest(name, ip(index), settings, folder.resolve("data-" + name));
  }

  private static String ip(int index) {
    return "127.73.1." + (index + 1);
  }

  private static UpstreamSpec spec(
      String service, ServiceKind kind, int index, int host, long executeMs, long tokenMs) {
    HostPort address = new HostPort("127.73." + (101 + index) + "." + host, 9000);
    String dataCentre = DATA_CENTRES[index];
    return new UpstreamSpec(
        service + "-" + dataCentre,
        kind,
        service,
        dataCentre,
        address,
        16,
        8,
        500,
        executeMs,
        tokenMs,
        kind == ServiceKind.ENGINE ? "lm" : "",
        "1",
        List.of(),
        false,
        1_000);
  }

  List<VmUnderTest> vms() {
    return vms;
  }

  VmUnderTest vm(String name) {
    return vms.stream().filter(vm -> vm.name().equals(name)).findFirst().orElseThrow();
  }

  /** Finds the leader of a group as reported by one VM. */
  VmUnderTest leader(VmUnderTest queried, String group) {
    List<VmUnderTest> leaders = new ArrayList<>();
    await(
        "a leader of " + group,
        20_000,
        () -> {
          for (JsonNode entry : state(queried).path("consensusGroups")) {
            String leader = entry.path("leader").asText();
            if (entry.path("group").asText().equals(group) && !leader.isEmpty()) {
              leaders.add(vm(leader));
            }
          }
          return !leaders.isEmpty();
        });
    return leaders.get(leaders.size() - 1);
  }

  JsonNode state(VmUnderTest vm) {
    return get(vm.adminAddress(), "/admin/v1/state").body();
  }

  private Map<String, JsonNode> states() {
    Map<String, JsonNode> states = new LinkedHashMap<>();
    vms.forEach(vm -> states.put(vm.name(), state(vm)));
    return states;
  }

  void await(String expectation, long timeoutMs, BooleanSupplier condition) {
    long endMs = clock.millis() + timeoutMs;
    while (!condition.getAsBoolean()) {
      if (clock.millis() > endMs) {
        throw new AssertionError(
            "not reached within %d ms: %s; logs in %s, states: %s"
                .formatted(timeoutMs, expectation, folder, states()));
      }
      LockSupport.parkNanos(POLL_NANOS);
    }
  }

  void pause(long pauseMs) {
    long endMs = clock.millis() + pauseMs;
    await("the end of a pause", pauseMs + 1_000, () -> clock.millis() >= endMs);
  }

  Response get(HostPort address, String path, String... headers) {
    return send(request(address, path, headers).GET().build()).join();
  }

  CompletableFuture<Response> post(HostPort address, String path, String body, String... headers) {
    return send(
        request(address, path, headers).POST(HttpRequest.BodyPublishers.ofString(body)).build());
  }

  CompletableFuture<Response> book(VmUnderTest vm, String key) {
    return post(
        vm.callerAddress(),
        "/v1/services/booking",
        "{\"marker\":\"" + key + "\"}",
        "Workspace",
        "w1",
        "Idempotency-Key",
        key);
  }

  CompletableFuture<Response> requestQuote(VmUnderTest vm, String marker) {
    return post(
        vm.callerAddress(),
        "/v1/pipelines/quote",
        "{\"input\":{\"marker\":\"" + marker + "\"},\"maxTokens\":20}",
        "Workspace",
        "w1");
  }

  long executionsOf(String key) {
    return specs.stream()
        .mapToLong(
            spec ->
                get(spec.address(), "/stand-in/report").body().path("byMarker").path(key).asLong())
        .sum();
  }

  long executionsIn(String dataCentre) {
    return specs.stream()
        .filter(spec -> spec.dataCentre().equals(dataCentre))
        .mapToLong(spec -> get(spec.address(), "/stand-in/report").body().path("executed").asLong())
        .sum();
  }

  private static HttpRequest.Builder request(HostPort address, String path, String... headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofSeconds(8));
    return headers.length == 0 ? request : request.headers(headers);
  }

  private CompletableFuture<Response> send(HttpRequest request) {
    return http.sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .handle(
            (response, failure) ->
                failure == null
                    ? new Response(response.statusCode(), parse(response.body()))
                    : new Response(0, MissingNode.getInstance()));
  }

  private static JsonNode parse(String text) {
    try {
      return Json.MESSAGES.readTree(text);
    } catch (IOException e) {
      return MissingNode.getInstance();
    }
  }

  @Override
  public void close() throws InterruptedException {
    for (VmUnderTest vm : vms) {
      if (vm.isAlive()) {
        vm.kill();
      }
    }
    standIns.close();
  }

  /**
   * Response of a process.
   *
   * @param status HTTP status; 0 if no response arrived
   * @param body JSON body
   */
  record Response(int status, JsonNode body) {
    String execution() {
      return body.path("execution").asText();
    }
  }
}
