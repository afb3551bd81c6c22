package org.ragwortpick.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.handlers.sse.ServerSentEventConnection;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import org.ragwortpick.common.Json;
import org.ragwortpick.config.ServiceKind;

/** State of one upstream that is played. */
final class UpstreamStandIn {

  private static final int CACHE_HIT_DIVISOR = 4;
  private static final int DEFAULT_MAX_TOKENS = 16;

  private final UpstreamSpec spec;
  private final Clock clock;
  private final ScheduledExecutorService executor;
  private final ColdStart coldStart;
  private final ExecutionCounts counts = new ExecutionCounts();
  private final PrefixCache prefixCache = new PrefixCache();
  private final EngineOrders orders;
  private final Map<String, TokenStream> streams = new ConcurrentHashMap<>();
  private final AtomicLong sequence = new AtomicLong();
  private final AtomicLong incarnation;
  private final AtomicLong lastWorkAtMs = new AtomicLong();
  private final Deque<Integer> laggingLoad = new ArrayDeque<>();

  private volatile boolean leaving;
  private volatile boolean silent;
  private volatile long extraDelayMs;

  /**
   * Creates an upstream that has just started.
   *
   * @param spec what to play
   * @param clock monotonic clock
   * @param executor executor of timers
   * @param incarnation number that grows with each start
   */
  UpstreamStandIn(
      UpstreamSpec spec, Clock clock, ScheduledExecutorService executor, long incarnation) {
    this.spec = spec;
    this.clock = clock;
    this.executor = executor;
    this.coldStart = new ColdStart(clock, spec);
    this.orders = new EngineOrders(spec.checksFencing());
    this.incarnation = new AtomicLong(incarnation);
  }

  /**
   * Returns what is played.
   *
   * @return the specification
   */
  UpstreamSpec spec() {
    return spec;
  }

  /**
   * Returns the places.
   *
   * @return the places
   */
  ColdStart coldStart() {
    return coldStart;
  }

  /**
   * Returns the prefix cache.
   *
   * @return the cache
   */
  PrefixCache prefixCache() {
    return prefixCache;
  }

  /**
   * Returns the orders.
   *
   * @return the orders
   */
  EngineOrders orders() {
    return orders;
  }

  /**
   * Counts an executed call.
   *
   * @param marker marker of the request
   * @param caller what identifies the caller
   */
  void recordExecution(String marker, String caller) {
    lastWorkAtMs.set(clock.millis());
    counts.record(marker, caller);
  }

  /**
   * Returns the time of one call at the present load.
   *
   * @return time in milliseconds
   */
  long executeMs() {
    int waiting = Math.max(0, coldStart.inFlight() - spec.slots());
    return extraDelayMs + spec.executeMs() * (1 + waiting / Math.max(1, spec.slots()));
  }

  /**
   * Returns the time between two tokens at the present batch size.
   *
   * @return time in milliseconds
   */
  long tokenIntervalMs() {
    return spec.tokenMs() + spec.tokenMs() * coldStart.inFlight() / Math.max(1, spec.slots());
  }

  /**
   * Starts a stream of tokens.
   *
   * @param connection connection to the caller
   * @param streamId identity by which the stream is cancelled
   * @param body request body
   */
  void generate(ServerSentEventConnection connection, String streamId, JsonNode body) {
    String marker = RequestMarker.find(body);
    JsonNode prompt = body.get("prompt");
    boolean hit = prompt != null && prefixCache.use(prompt.asText().hashCode());
    TokenStream stream =
        new TokenStream(
            connection,
            this,
            executor,
            marker,
            body.path("maxTokens").asInt(DEFAULT_MAX_TOKENS),
            body.path("resumeOffset").asInt(0),
            () -> {
              streams.remove(streamId);
              coldStart.leave();
            });
    streams.put(streamId, stream);
    stream.start(hit ? executeMs() / CACHE_HIT_DIVISOR : executeMs());
  }

  /**
   * Cancels a stream.
   *
   * @param streamId identity of the stream
   */
  void cancel(String streamId) {
    TokenStream stream = streams.get(streamId);
    if (stream != null) {
      stream.cancel();
    }
  }

  /**
   * Applies a fault that a test or demonstration asks for.
   *
   * @param name {@code cold}, {@code leave}, {@code rejoin}, {@code silent}, {@code resume} or
   *     {@code slow}
   * @param value delay in milliseconds for {@code slow}
   * @return false if the name is unknown
   */
  boolean applyFault(String name, long value) {
    switch (name.toLowerCase(Locale.ROOT)) {
      case "cold" -> coldStart.turnCold();
      case "leave" -> leaving = true;
      case "rejoin" -> {
        incarnation.incrementAndGet();
        leaving = false;
        coldStart.turnCold();
      }
      case "silent" -> silent = true;
      case "resume" -> silent = false;
      case "slow" -> extraDelayMs = value;
      default -> {
        return false;
      }
    }
    return true;
  }

  /**
   * Tells whether the upstream neither answers nor announces itself.
   *
   * @return true while it is silent
   */
  boolean isSilent() {
    return silent;
  }

  /**
   * Builds the next announcement.
   *
   * @return the body of the announcement
   */
  synchronized ObjectNode announcement() {
    ObjectNode body = Json.MESSAGES.createObjectNode();
    body.put("id", spec.id());
    body.put("incarnation", incarnation.get());
    body.put("sequence", sequence.incrementAndGet());
    body.put("address", spec.address().toString());
    body.put("dataCentre", spec.dataCentre());
    body.put("service", spec.service());
    body.put("model", spec.model());
    body.put("version", spec.version());
    body.set("adapters", Json.MESSAGES.valueToTree(spec.adapters()));
    body.put("state", leaving ? "LEAVING" : coldStart.isCold() ? "COLD" : "READY");
    body.put("slots", spec.slots());
    body.put("coldLimit", spec.coldLimit());
    body.put("load", reportedLoad());
    body.put("checksFencing", spec.checksFencing());
    return body;
  }

  /**
   * Describes what the upstream has done, for tests and demonstrations.
   *
   * @return counts
   */
  ObjectNode report() {
    ObjectNode body = Json.MESSAGES.createObjectNode();
    body.put("id", spec.id());
    body.put("dataCentre", spec.dataCentre());
    body.put("service", spec.service());
    body.put("executed", counts.total());
    body.put("inFlight", coldStart.inFlight());
    body.put("cold", coldStart.isCold());
    body.put("coldLimit", spec.coldLimit());
    body.put("peakColdInFlight", coldStart.peakColdInFlight());
    body.put("overloads", coldStart.overloads());
    body.put("refusals", coldStart.refusals());
    body.put("lastWorkAgeMs", lastWorkAtMs.get() == 0 ? -1 : clock.millis() - lastWorkAtMs.get());
    if (spec.kind() == ServiceKind.PLAIN) {
      body.set("byMarker", Json.MESSAGES.valueToTree(counts.byMarker()));
      body.set("callers", Json.MESSAGES.valueToTree(counts.callers()));
    }
    body.set("orders", Json.MESSAGES.valueToTree(orders.executed()));
    return body;
  }

  private int reportedLoad() {
    laggingLoad.addLast(coldStart.inFlight());
    long kept = 1 + spec.reportLagMs() / 1_000;
    while (laggingLoad.size() > kept) {
      laggingLoad.removeFirst();
    }
    return laggingLoad.peekFirst();
  }
}
