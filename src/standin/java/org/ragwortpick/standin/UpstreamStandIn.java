package org.ragwortpick.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.handlers.sse.ServerSentEventConnection;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.ragwortpick.common.Json;
import org.ragwortpick.config.ServiceKind;

/** State of one simulated upstream. */
public final class UpstreamStandIn {

  /** A hit in the prefix cache divides the time until the first token by this. */
  private static final int CACHE_HIT_DIVISOR = 4;

  private static final int DEFAULT_MAX_TOKENS = 16;

  /** Text that makes a prompt harmful to upstreams with the fault {@code harmful}. */
  public static final String HARMFUL_PROMPT = "harmful";

  private final UpstreamSpec spec;
  private final Clock clock;
  private final ScheduledExecutorService executor;
  private final ColdStart coldStart;
  private final ExecutionCounts executionCounts = new ExecutionCounts();
  private final PrefixCache prefixCache = new PrefixCache();
  private final EngineOrders orders;
  private final Map<String, TokenStream> streams = new ConcurrentHashMap<>();
  private final AtomicLong sequence = new AtomicLong();
  private final AtomicLong incarnation;
  private final AtomicLong lastWorkAtMs = new AtomicLong();
  private final ResponseCuts cuts = new ResponseCuts();
  private final Deque<Integer> loadSamples = new ArrayDeque<>();

  private volatile boolean leaving;
  private volatile boolean saysLeaving;
  private volatile long pausedUntilMs = Long.MIN_VALUE;
  private final AtomicInteger refusalsInPause = new AtomicInteger();
  private volatile boolean silent;
  private volatile long extraDelayMs;
  private volatile long harmfulDownMs;

  /**
   * Creates an upstream that has just started, in cold start.
   *
   * @param spec specification of the upstream
   * @param clock monotonic clock
   * @param executor executor of timers
   * @param incarnation incarnation, higher after each start
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
   * Returns the specification of the upstream.
   *
   * @return the specification
   */
  UpstreamSpec spec() {
    return spec;
  }

  /**
   * Returns the slots and the cold start.
   *
   * @return slots and cold start
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
   * Returns the orders that the upstream has accepted.
   *
   * @return accepted orders
   */
  EngineOrders orders() {
    return orders;
  }

  /**
   * Counts an executed call.
   *
   * @param marker marker of the request
   * @param caller workspace, request id, stage and attempt of the call
   */
  void recordExecution(String marker, String caller) {
    lastWorkAtMs.set(clock.millis());
    executionCounts.recordExecution(marker, caller);
  }

  /**
   * Returns the execution time of one call at the current load.
   *
   * @return time in milliseconds
   */
  long executeMs() {
    int waiting = Math.max(0, coldStart.inFlight() - spec.slots());
    return extraDelayMs + spec.executeMs() * (1 + waiting / Math.max(1, spec.slots()));
  }

  /**
   * Returns the time between two tokens at the current batch size.
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
   * @param streamId identifier with which the stream can be cancelled
   * @param body request body
   * @param cut whether the stream ends early
   */
  void generate(ServerSentEventConnection connection, String streamId, JsonNode body, boolean cut) {
    String marker = RequestMarker.find(body);
    JsonNode prompt = body.get("prompt");
    boolean hit = prompt != null && prefixCache.lookUpAndStore(prompt.asText().hashCode());
    TokenStream stream =
        new TokenStream(
            connection,
            this,
            executor,
            marker,
            body.path("maxTokens").asInt(DEFAULT_MAX_TOKENS),
            cut,
            body.path("resumeOffset").asInt(0),
            () -> {
              streams.remove(streamId);
              coldStart.releaseSlot();
            });
    streams.put(streamId, stream);
    stream.start(hit ? executeMs() / CACHE_HIT_DIVISOR : executeMs());
  }

  /**
   * Cancels a stream, if it has not ended.
   *
   * @param streamId identifier of the stream
   */
  void cancel(String streamId) {
    TokenStream stream = streams.get(streamId);
    if (stream != null) {
      stream.cancel();
    }
  }

  /**
   * Injects a fault requested by a test or a demonstration.
   *
   * @param name {@code cold}, {@code leave}, {@code say-leaving}, {@code rejoin}, {@code silent},
   *     {@code resume}, {@code slow}, {@code cut}, {@code harmful} or {@code pause}
   * @param value additional delay in milliseconds for {@code slow}; percentage of the responses
   *     that end early for {@code cut}; time in milliseconds until the upstream starts again after
   *     a harmful prompt for {@code harmful}, 0 if it bears them; time in milliseconds for which it
   *     refuses requests and states so for {@code pause}
   * @return false if the name is unknown
   */
  boolean applyFault(String name, long value) {
    switch (name.toLowerCase(Locale.ROOT)) {
      case "cold" -> coldStart.restartColdStart();
      case "leave" -> {
        leaving = true;
        saysLeaving = true;
      }
      case "say-leaving" -> saysLeaving = true;
      case "pause" -> pausedUntilMs = clock.millis() + value;
      case "rejoin" -> {
        incarnation.incrementAndGet();
        leaving = false;
        saysLeaving = false;
        coldStart.restartColdStart();
      }
      case "silent" -> silent = true;
      case "resume" -> silent = false;
      case "slow" -> extraDelayMs = value;
      case "cut" -> cuts.setPercent((int) value);
      case "harmful" -> harmfulDownMs = value;
      default -> {
        return false;
      }
    }
    return true;
  }

  /**
   * Tells whether the responses of the upstream state that it is leaving.
   *
   * @return whether they do
   */
  boolean saysLeaving() {
    return saysLeaving;
  }

  /**
   * Decides about a request by the current pause, and counts it if it is refused.
   *
   * @return remaining time of the pause in milliseconds; 0 if the request is not refused
   */
  long refuseInPauseMs() {
    long nowMs = clock.millis();
    if (nowMs >= pausedUntilMs) {
      return 0;
    }
    refusalsInPause.incrementAndGet();
    return pausedUntilMs - nowMs;
  }

  /**
   * Decides whether the next response ends early.
   *
   * @return whether it is cut
   */
  boolean nextIsCut() {
    return cuts.nextIsCut();
  }

  /**
   * Ends the upstream if a prompt is harmful to it. It starts again as a new incarnation.
   *
   * @param body request body
   * @return whether the upstream has ended
   */
  boolean endsUnder(JsonNode body) {
    long downMs = harmfulDownMs;
    if (downMs == 0 || !body.path("prompt").asText().contains(HARMFUL_PROMPT)) {
      return false;
    }
    silent = true;
    List.copyOf(streams.values()).forEach(TokenStream::cancel);
    executor.schedule(
        () -> {
          incarnation.incrementAndGet();
          coldStart.restartColdStart();
          silent = false;
        },
        downMs,
        TimeUnit.MILLISECONDS);
    return true;
  }

  /**
   * Tells whether the upstream sends neither responses nor announcements.
   *
   * @return true while it is silent
   */
  boolean isSilent() {
    return silent;
  }

  /**
   * Builds the next announcement and increments its sequence number.
   *
   * @return the body of the announcement
   */
  synchronized ObjectNode nextAnnouncement() {
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
   * Reports the executions, the load and the overloads, for tests and demonstrations.
   *
   * @return the report
   */
  ObjectNode report() {
    ObjectNode body = Json.MESSAGES.createObjectNode();
    body.put("id", spec.id());
    body.put("dataCentre", spec.dataCentre());
    body.put("service", spec.service());
    body.put("executed", executionCounts.total());
    body.put("inFlight", coldStart.inFlight());
    body.put("cold", coldStart.isCold());
    body.put("coldLimit", spec.coldLimit());
    body.put("peakColdInFlight", coldStart.peakColdInFlight());
    body.put("overloads", coldStart.overloads());
    body.put("refusals", coldStart.refusals());
    body.put("refusalsInPause", refusalsInPause.get());
    body.put("lastWorkAgeMs", lastWorkAtMs.get() == 0 ? -1 : clock.millis() - lastWorkAtMs.get());
    if (spec.kind() == ServiceKind.PLAIN) {
      body.set("byMarker", Json.MESSAGES.valueToTree(executionCounts.byMarker()));
      body.set("callers", Json.MESSAGES.valueToTree(executionCounts.callersByCall()));
    }
    body.set("orders", Json.MESSAGES.valueToTree(orders.executionCounts()));
    return body;
  }

  private int reportedLoad() {
    loadSamples.addLast(coldStart.inFlight());
    long maxSamples = 1 + spec.reportLagMs() / 1_000;
    while (loadSamples.size() > maxSamples) {
      loadSamples.removeFirst();
    }
    return loadSamples.peekFirst();
  }
}
