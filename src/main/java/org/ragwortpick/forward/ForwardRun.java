package org.ragwortpick.forward;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ragwortpick.batch.SubmissionEnd;
import org.ragwortpick.entry.Timers;
import org.ragwortpick.entry.upstream.HttpRequest;
import org.ragwortpick.routing.RoutingTable;
import org.ragwortpick.routing.ServiceProfile;
import org.ragwortpick.sync.Upstream;

/** One forwarded request from its body to its answer. Confined to the I/O thread. */
final class ForwardRun implements SendListener {

  /** A caller that was refused for want of an upstream may find one after this time. */
  private static final long RETRY_AFTER_MS = 300;

  /** A queue empties in several times the wait of its last piece, while new work keeps coming. */
  private static final long QUEUE_FACTOR = 4;

  private static final long LEAST_OVERLOAD_RETRY_MS = 1_000;

  /** The timer of the deadline must end a silent send before its progress timeout does. */
  private static final long DEADLINE_MARGIN_MS = 100;

  /** Callers wait at most a third of the time that they have left. */
  private static final long DEADLINE_DIVISOR = 4;

  private final ForwardDependencies dependencies;
  private final HttpServerExchange exchange;
  private final CallerRequest request;
  private final String service;
  private final PromptPrefix prefix;
  private final AnswerRelay relay;
  private final RequestLog log;
  private final RepeatPolicy repeats;
  private final Set<String> tried = new HashSet<>();
  private final Timers.Timer deadline;
  private Optional<StageGraphRun> stages = Optional.empty();
  private Optional<UpstreamSend> send = Optional.empty();
  private List<String> inputs = List.of();
  private long sentAtMs;
  private boolean ended;

  /**
   * Creates the run.
   *
   * @param dependencies what all requests share
   * @param exchange exchange with the caller
   * @param request the request
   * @param service service that runs it
   */
  ForwardRun(
      ForwardDependencies dependencies,
      HttpServerExchange exchange,
      CallerRequest request,
      String service) {
    this.dependencies = dependencies;
    this.exchange = exchange;
    this.request = request;
    this.service = service;
    this.prefix = PromptPrefix.parse(request.headers().getFirst(dependencies.headers().prefixes()));
    this.relay = new AnswerRelay(exchange);
    this.log = new RequestLog(request, dependencies.clock(), dependencies.metrics());
    this.repeats = new RepeatPolicy(request.route(), dependencies.retryBudgets().of(service));
    this.deadline =
        dependencies
            .timers()
            .schedule(request.deadlineAtMs() - dependencies.clock().millis(), this::onDeadline);
  }

  /**
   * Starts the stages, or sends the request if it has none.
   *
   * @param table routing table that took the request
   */
  void start(RoutingTable table) {
    dependencies.work().enter();
    dependencies.retryBudgets().of(service).recordFirstAttempt();
    HeaderMap headers = request.headers();
    List<Integer> counts =
        PieceCounts.parse(
            headers.getFirst(dependencies.headers().pieceCount()), request.route().stages().size());
    StagePlan plan =
        StagePlan.of(
            request.route(), counts, name -> table.service(name).flatMap(ServiceProfile::batching));
    if (!plan.hasWork()) {
      dispatch();
      return;
    }
    String key = headers.getFirst(dependencies.headers().pieceKey());
    StageGraphRun run =
        new StageGraphRun(
            request,
            key == null ? "" : key,
            plan,
            dependencies.answerTimes().expectedMs(request.route().name()),
            dependencies.chooser().likelyDataCentre(service, prefix),
            dependencies.places(),
            dependencies.stages(),
            dependencies.clock()::millis,
            this::onStagesEnded);
    stages = Optional.of(run);
    run.start();
  }

  private void onStagesEnded(SubmissionEnd end) {
    if (ended) {
      return;
    }
    if (end instanceof SubmissionEnd.Failed failed) {
      refuse(
          Refusal.unavailable("a stage ended with " + failed.cause(), retryAfterMs(failed)),
          "stage_" + failed.cause());
      return;
    }
    inputs = ((SubmissionEnd.Produced) end).handles();
    log.stagesDone();
    dispatch();
  }

  /**
   * A caller that comes back during the same burst is refused again, so it is told to come back
   * when the queue has had time to empty, and early enough to be served before its deadline.
   */
  private long retryAfterMs(SubmissionEnd.Failed failed) {
    if (failed.cause() != SubmissionEnd.Cause.OVERLOADED) {
      return RETRY_AFTER_MS;
    }
    long remainingMs = request.deadlineAtMs() - dependencies.clock().millis();
    long emptyMs = Math.max(LEAST_OVERLOAD_RETRY_MS, QUEUE_FACTOR * failed.waitMs());
    return Math.max(RETRY_AFTER_MS, Math.min(emptyMs, remainingMs / DEADLINE_DIVISOR));
  }

  private void dispatch() {
    if (!dependencies.viewIsCurrent().getAsBoolean()) {
      refuse(
          Refusal.unavailable("this VM was suspended and does not know the upstreams", 0),
          "suspended");
      return;
    }
    Optional<Upstream> chosen =
        dependencies
            .chooser()
            .choose(
                service, prefix, stages.map(StageGraphRun::dataCentreOfResults).orElse(""), tried);
    if (chosen.isEmpty()) {
      refuse(
          Refusal.unavailable("service " + service + " has no free upstream", RETRY_AFTER_MS),
          "no_upstream");
      return;
    }
    Upstream upstream = chosen.get();
    tried.add(upstream.id());
    repeats.sending();
    sentAtMs = dependencies.clock().millis();
    log.sending(upstream);
    UpstreamSend next =
        new UpstreamSend(
            dependencies, request, upstream, this, relay, request.route().repeatable());
    send = Optional.of(next);
    next.start(httpRequest(upstream));
  }

  private HttpRequest httpRequest(Upstream upstream) {
    RoutingHeaders names = dependencies.headers();
    HeaderMap headers = new HeaderMap();
    for (HeaderValues values : request.headers()) {
      boolean passes =
          !names.reserved().contains(values.getHeaderName())
              && !AnswerRelay.CONNECTION_HEADERS.contains(values.getHeaderName())
              && !values.getHeaderName().equals(Headers.CONTENT_LENGTH);
      if (passes) {
        headers.putAll(values.getHeaderName(), values);
      }
    }
    long remainingMs = Math.max(1, request.deadlineAtMs() - dependencies.clock().millis());
    headers.put(names.deadlineMs(), remainingMs);
    headers.put(names.expectedUpstream(), upstream.id());
    request.workspace().ifPresent(owner -> headers.put(names.workspace(), owner.name()));
    if (!inputs.isEmpty()) {
      headers.put(names.inputs(), String.join(",", inputs));
    }
    boolean hasLength = request.headers().contains(Headers.CONTENT_LENGTH);
    if (request.body().length > 0 || hasLength) {
      headers.put(Headers.CONTENT_LENGTH, request.body().length);
    }
    return new HttpRequest(
        upstream.address(),
        request.method(),
        request.target(),
        headers,
        request.body(),
        false,
        remainingMs + DEADLINE_MARGIN_MS,
        () -> !ended);
  }

  @Override
  public boolean mayRepeat(SendOutcome outcome) {
    return !ended && repeats.mayRepeat(outcome);
  }

  @Override
  public void onRepeat(SendOutcome outcome) {
    log.repeating(outcome);
    dispatch();
  }

  @Override
  public void onAnswerStarted(int status) {
    log.answered(status);
    dependencies
        .answerTimes()
        .observe(request.route().name(), dependencies.clock().millis() - sentAtMs);
    stages.ifPresent(StageGraphRun::abandon);
  }

  @Override
  public void onAnswerEnded(boolean complete) {
    finish(complete ? "answered" : "broken_off");
  }

  @Override
  public void onFailed(SendOutcome outcome, long retryAfterMs) {
    switch (outcome) {
      case NOT_RUN, NOT_REACHED ->
          refuse(
              Refusal.unavailable(
                  "the upstreams of service " + service + " did not run the request",
                  Math.max(retryAfterMs, RETRY_AFTER_MS)),
              "not_run");
      default -> refuse(Refusal.OUTCOME_UNKNOWN, "lost");
    }
  }

  private void onDeadline() {
    if (ended) {
      return;
    }
    boolean started = send.filter(UpstreamSend::answerStarted).isPresent();
    send.ifPresent(UpstreamSend::abort);
    if (started) {
      relay.breakOff();
      finish("deadline_in_answer");
    } else {
      refuse(send.isPresent() ? Refusal.TIMED_OUT : Refusal.TOO_LATE, "deadline");
    }
  }

  /** Ends the work when the caller has left. */
  void onCallerGone() {
    if (!ended) {
      send.ifPresent(UpstreamSend::abort);
      finish("caller_left");
      exchange.endExchange();
    }
  }

  private void refuse(Refusal refusal, String reason) {
    finish(reason);
    boolean deniesARun = repeats.mayHaveRun() && refusal.promisesNotRun();
    RefusalWriter.write(exchange, deniesARun ? Refusal.OUTCOME_UNKNOWN : refusal);
  }

  private void finish(String end) {
    if (ended) {
      return;
    }
    ended = true;
    deadline.cancel();
    stages.ifPresent(StageGraphRun::abandon);
    log.ended(end, repeats.sends());
    dependencies.work().exit();
  }
}
