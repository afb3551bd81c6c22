package org.ragwortpick.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.Json;
import org.ragwortpick.entry.upstream.AttemptId;
import org.ragwortpick.entry.upstream.CallFailure;
import org.ragwortpick.entry.upstream.ServerSentEvent;
import org.ragwortpick.entry.upstream.UpstreamClient;
import org.ragwortpick.entry.upstream.UpstreamEnd;
import org.ragwortpick.entry.upstream.UpstreamHead;
import org.ragwortpick.entry.upstream.UpstreamListener;
import org.ragwortpick.entry.upstream.UpstreamRequest;

/**
 * Upstreams with randomly injected faults: responses that are late, reordered, duplicated,
 * truncated, or that belong to another request. Responses may arrive after their call was aborted.
 */
public final class FaultyUpstreams implements UpstreamClient {

  private final Random random;
  private final VirtualTime time;
  private final EntryFakes fakes;
  private final int faultPercent;
  private final Map<HostPort, String> dataCentres = new HashMap<>();
  private final Map<String, Integer> executions = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private UpstreamRequest previousRequest;

  public FaultyUpstreams(Random random, VirtualTime time, EntryFakes fakes, int faultPercent) {
    this.random = random;
    this.time = time;
    this.fakes = fakes;
    this.faultPercent = faultPercent;
    for (String service : List.of("encoder", "engine", "booking")) {
      for (int i = 1; i <= 4; i++) {
        HostPort address = new HostPort("10.0." + service.length() + "." + i, 80);
        String dataCentre = "dc-" + (1 + i % 2);
        dataCentres.put(address, dataCentre);
        fakes.announce(EntryFakes.upstream(service + i, address, service, dataCentre));
      }
    }
  }

  /** Returns the output of a pipeline request with this input on healthy upstreams. */
  public static String expectedOutput(String input) {
    return String.join("", tokens("E:" + input));
  }

  /** Returns the requests whose first byte was written to a data centre that took no work. */
  public List<String> violations() {
    return violations;
  }

  /** Returns how often upstreams received a request with this body. */
  public int executions(String body) {
    return executions.getOrDefault(body, 0);
  }

  private static List<String> tokens(String input) {
    List<String> tokens = new ArrayList<>();
    for (int i = 0; i < 3 + Math.floorMod(input.hashCode(), 9); i++) {
      tokens.add(input + "/" + i + ";");
    }
    return tokens;
  }

  private boolean drawFault(int percent) {
    return random.nextInt(100) < percent * faultPercent / 100;
  }

  @Override
  public UpstreamCall send(UpstreamRequest request, UpstreamListener listener) {
    Call call = new Call(listener);
    time.schedule(random.nextInt(5), () -> connect(call, request));
    return call;
  }

  private void connect(Call call, UpstreamRequest request) {
    if (call.ended) {
      return;
    }
    if (request.path().equals("/v1/cancel")) {
      call.end(new UpstreamEnd.Answered(head(request.id(), 200), new byte[0]));
    } else if (drawFault(15)) {
      call.end(new CallFailure.NotConnected("refused"));
    } else if (!request.permit().getAsBoolean()) {
      call.end(new CallFailure.NotPermitted());
    } else {
      String dataCentre = dataCentres.get(request.address());
      if (!fakes.isInForce() || !fakes.current().takesWork(dataCentre)) {
        violations.add("sent to " + dataCentre);
      }
      executions.merge(new String(request.body(), StandardCharsets.UTF_8), 1, Integer::sum);
      respond(call, request);
      previousRequest = request;
    }
  }

  private void respond(Call call, UpstreamRequest request) {
    UpstreamRequest source = previousRequest != null && drawFault(15) ? previousRequest : request;
    int status = drawFault(10) ? 503 : drawFault(5) ? 500 : 200;
    long delayMs = 5 + random.nextInt(60);
    if (drawFault(10)) {
      delayMs += request.progressTimeoutMs();
      call.at(request.progressTimeoutMs(), () -> call.end(new CallFailure.TimedOut()));
    }
    call.at(delayMs, () -> call.listener.onHead(head(source.id(), status)));
    if (status == 200 && request.stream()) {
      delayMs = scheduleEvents(call, source, delayMs);
    }
    byte[] body = request.stream() ? new byte[0] : executeResponse(source);
    UpstreamEnd end =
        drawFault(15)
            ? new CallFailure.Broken(CallFailure.Broken.Sign.CONNECTION, "reset")
            : new UpstreamEnd.Answered(head(source.id(), status), body);
    call.at(delayMs + 1, () -> call.end(end));
    if (drawFault(10)) {
      call.at(delayMs + 2, () -> call.listener.onEnd(end));
    }
  }

  private long scheduleEvents(Call call, UpstreamRequest source, long startMs) {
    JsonNode body = json(source);
    if (!source.stream()) {
      return startMs;
    }
    List<String> tokens = tokens(body.get("input").asText());
    List<ServerSentEvent> events = new ArrayList<>();
    for (int i = body.path("resumeOffset").asInt(0); i < tokens.size(); i++) {
      String data = "{\"offset\":" + i + ",\"text\":\"" + tokens.get(i) + "\"}";
      events.add(new ServerSentEvent("token", data));
    }
    events.add(new ServerSentEvent("done", "{\"tokens\":" + tokens.size() + "}"));
    int position = random.nextInt(events.size());
    if (drawFault(12) && position > 0) {
      Collections.swap(events, position, position - 1);
    } else if (drawFault(12)) {
      events.add(position, events.get(position));
    } else if (drawFault(12)) {
      events.remove(position);
    } else if (drawFault(20)) {
      events.subList(position, events.size()).clear();
    }
    long atMs = startMs;
    for (ServerSentEvent event : events) {
      atMs += random.nextInt(8);
      call.at(atMs, () -> call.listener.onEvent(event));
    }
    return atMs;
  }

  private byte[] executeResponse(UpstreamRequest source) {
    String output = "{\"output\":\"E:" + json(source).path("input").asText() + "\"}";
    return (drawFault(8) ? "<html>" : output).getBytes(StandardCharsets.UTF_8);
  }

  private static UpstreamHead head(AttemptId id, int status) {
    return new UpstreamHead(status, Optional.of(id), false, false, 0);
  }

  private static JsonNode json(UpstreamRequest request) {
    try {
      return Json.MESSAGES.readTree(request.body());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private final class Call implements UpstreamCall {

    private final UpstreamListener listener;
    private boolean ended;

    private Call(UpstreamListener listener) {
      this.listener = listener;
    }

    private void at(long delayMs, Runnable action) {
      time.schedule(delayMs, action);
    }

    private void end(UpstreamEnd end) {
      ended = true;
      listener.onEnd(end);
    }

    @Override
    public void abort() {
      // Events that are already scheduled still arrive.
      ended = true;
    }
  }
}
