package org.ragwortpick.forward;

import io.undertow.server.HttpServerExchange;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ragwortpick.batch.SubmissionEnd;
import org.ragwortpick.entry.Timers;
import org.ragwortpick.entry.upstream.HttpEnd;
import org.ragwortpick.policy.limit.TokenDemand;
import org.ragwortpick.policy.quarantine.HeldContent;
import org.ragwortpick.policy.quarantine.RequestContent;
import org.ragwortpick.routing.RoutingTable;
import org.ragwortpick.sync.Upstream;

/** Forwards one request, from its body to the end of its response. Confined to the I/O thread. */
final class ForwardRun implements AttemptListener, RelayOwner {

  private final ForwardDependencies dependencies;
  private final HttpServerExchange exchange;
  private final CallerRequest request;
  private final String service;
  private final PromptPrefix prefix;
  private final TokenDemand demand;
  private final ContentGate gate;
  private final ResponseMemory.Share memory;
  private final ResponseRelay relay;
  private final StreamVersion streamVersion;
  private final RequestLog log;
  private final RepeatPolicy repeatPolicy;
  private final AttemptRequests attemptRequests;
  private final RetryTimes retryTimes;
  private final RelayRun relays;
  private final Set<String> triedUpstreams = new HashSet<>();
  private final Timers.Timer deadline;
  private Optional<StageGraphRun> stages = Optional.empty();
  private Optional<Attempt> attempt = Optional.empty();
  private Optional<Runnable> errorResponse = Optional.empty();
  private List<String> inputs = List.of();
  private String upstreamId = "";
  private long stagesMinMs;
  private long pathMs;
  private long sentAtMs;
  private long firstByteMs;
  private boolean inputsReady;
  private boolean attemptWritten;
  private boolean ended;

  /**
   * Creates the run.
   *
   * @param dependencies dependencies that all requests share
   * @param exchange exchange with the caller
   * @param request the request
   * @param service service that runs it
   * @param memory counts what the request holds in memory
   */
  ForwardRun(
      ForwardDependencies dependencies,
      HttpServerExchange exchange,
      CallerRequest request,
      String service,
      ResponseMemory.Share memory) {
    this.dependencies = dependencies;
    this.exchange = exchange;
    this.request = request;
    this.service = service;
    this.prefix = PromptPrefix.parse(request.headers().getFirst(dependencies.headers().prefixes()));
    this.memory = memory;
    this.relay = new ResponseRelay(exchange, memory);
    this.demand = dependencies.demandOf(request, prefix);
    RequestFingerprint fingerprint = new RequestFingerprint(request);
    this.gate =
        new ContentGate(
            dependencies.quarantine(),
            service,
            RequestContent.of(prefix.parts(), fingerprint::value));
    this.streamVersion = StreamVersion.of(request, service, dependencies);
    this.log =
        new RequestLog(
            request,
            prefix,
            fingerprint,
            streamVersion,
            dependencies.clock(),
            dependencies.metrics());
    this.repeatPolicy = new RepeatPolicy(request.route(), dependencies.retryBudgets().of(service));
    this.attemptRequests =
        new AttemptRequests(request, dependencies.headers(), dependencies.clock());
    this.retryTimes = new RetryTimes(dependencies.chooser(), dependencies.clock());
    this.relays =
        new RelayRun(dependencies, request, service, attemptRequests, relay, memory, log, this);
    this.deadline =
        dependencies
            .timers()
            .schedule(request.deadlineAtMs() - dependencies.clock().millis(), this::onDeadline);
  }

  /**
   * Starts the stages, or the first attempt if the request has none. Has no effect if the caller
   * has disconnected already.
   *
   * @param table routing table that was matched
   */
  void start(RoutingTable table) {
    if (ended) {
      return;
    }
    dependencies.runsInFlight().add(this);
    if (relays.startIfUnreachable()) {
      return;
    }
    dependencies.retryBudgets().of(service).recordFirstAttempt();
    if (refuseIfHeld()) {
      return;
    }
    streamVersion.determine(this::onVersionDetermined);
    if (!ended) {
      startStages(table);
    }
  }

  /** Called when the version of a stream is known, before the stages or while they run. */
  private void onVersionDetermined() {
    if (ended) {
      return;
    }
    log.versionDetermined();
    if (refuseIfStreamCannotGoOn()
        || stages.isPresent() && !inputsReady && refuseIfNoneIsFreeAfterStages()) {
      return;
    }
    if (inputsReady) {
      startAttempt();
    }
  }

  /** Refuses the request if its upstreams can already be told to take none after its stages. */
  private boolean refuseIfNoneIsFreeAfterStages() {
    boolean free = dependencies.chooser().mayTakeAfter(stagesMinMs, streamVersion.target(), demand);
    if (!free) {
      refuseWithoutUpstream();
    }
    return !free;
  }

  private boolean refuseIfStreamCannotGoOn() {
    Optional<StreamObstacle> obstacle = streamVersion.obstacle(dependencies.chooser());
    obstacle.ifPresent(found -> refuse(found.refusal(), found.label()));
    return obstacle.isPresent();
  }

  private void startStages(RoutingTable table) {
    StageGraph graph = RequestStages.graph(request, dependencies.headers(), table);
    if (!graph.hasWork()) {
      startAttempt();
      return;
    }
    stagesMinMs = graph.minTotalMs();
    if (refuseIfNoneIsFreeAfterStages()) {
      return;
    }
    pathMs = graph.minTotalMs() + dependencies.responseTimes().averageMs(request.route().name());
    StageGraphRun run =
        RequestStages.run(dependencies, request, graph, streamVersion, prefix, this::onStagesEnded);
    stages = Optional.of(run);
    run.start();
  }

  private void onStagesEnded(SubmissionEnd end) {
    if (ended) {
      return;
    }
    if (end instanceof SubmissionEnd.Failed failed) {
      refuse(
          Refusal.unavailable("a stage ended with " + failed.cause(), retryAfterStageMs(failed)),
          "stage_" + failed.cause());
      return;
    }
    inputs = ((SubmissionEnd.Produced) end).handles();
    log.stagesDone();
    startAttempt();
  }

  private long retryAfterStageMs(SubmissionEnd.Failed failed) {
    return dependencies.overloadControl().getAsBoolean()
        ? retryTimes.afterPathRefused(failed, remainingMs(), pathMs)
        : retryTimes.afterStage(failed, remainingMs());
  }

  private boolean refuseIfHeld() {
    Optional<HeldContent> held = gate.held();
    held.ifPresent(
        content ->
            refuse(
                Refusal.heldContent(content, retryTimes.untilTrial(content)),
                content.isRequest() ? "request_held" : "part_held"));
    return held.isPresent();
  }

  private void startAttempt() {
    inputsReady = true;
    if (!streamVersion.isDetermined()) {
      return;
    }
    if (refuseIfHeld() || refuseIfStreamCannotGoOn()) {
      return;
    }
    if (remainingMs() <= 0) {
      refuse(Refusal.DEADLINE_PASSED, "deadline");
      return;
    }
    if (!dependencies.attemptEndsBeforeStop(request.route(), remainingMs())) {
      refuse(Refusal.STOPPING, "stopping");
      return;
    }
    if (!dependencies.viewIsCurrent().getAsBoolean()) {
      refuse(
          Refusal.unavailable(
              "this VM was suspended and has not confirmed its view of the upstreams yet", 0),
          "suspended");
      return;
    }
    Optional<Upstream> chosen =
        dependencies
            .chooser()
            .choose(
                streamVersion.target(),
                prefix,
                demand,
                stages.map(StageGraphRun::dataCentreOfResults).orElse(""),
                triedUpstreams);
    if (chosen.isEmpty()) {
      refuseWithoutUpstream();
      return;
    }
    Upstream upstream = chosen.get();
    upstreamId = upstream.id();
    triedUpstreams.add(upstreamId);
    repeatPolicy.onAttemptStarted();
    sentAtMs = dependencies.clock().millis();
    attemptWritten = false;
    log.attemptStarted(upstream, dependencies.configuration());
    UpstreamAttempt nextAttempt =
        new UpstreamAttempt(
            dependencies,
            request,
            upstream,
            demand,
            this,
            relay,
            memory,
            request.route().repeatable(),
            gate.evidenceOf(upstream, dependencies.clock()));
    attempt = Optional.of(nextAttempt);
    nextAttempt.start(attemptRequests.to(upstream, inputs, () -> mayWrite(upstream, nextAttempt)));
  }

  private void refuseWithoutUpstream() {
    if (relays.startIfNotConnected(repeatPolicy.mayHaveRun())) {
      return;
    }
    boolean limited = dependencies.chooser().limitIntervalMs(streamVersion.target()) > 0;
    refuse(
        Refusal.unavailable(
            "service " + service + " has no free upstream",
            retryTimes.withoutUpstream(streamVersion.target(), remainingMs())),
        limited ? "upstream_limits" : "no_upstream");
  }

  private long remainingMs() {
    return request.deadlineAtMs() - dependencies.clock().millis();
  }

  /**
   * Called immediately before the first byte of an attempt is written. The connection may have
   * taken time to open, and the process may have been suspended since the choice.
   */
  private boolean mayWrite(Upstream upstream, UpstreamAttempt writing) {
    boolean permitted =
        !ended
            && remainingMs() > 0
            && dependencies.viewIsCurrent().getAsBoolean()
            && streamVersion.permits(upstream)
            && dependencies.chooser().tryPermit(upstream);
    if (!permitted) {
      return false;
    }
    attemptWritten = true;
    streamVersion.onWritten(upstream, remainingMs());
    log.attemptWritten();
    writing.onWritten();
    return true;
  }

  @Override
  public boolean mayRepeat(AttemptOutcome outcome) {
    if (ended) {
      return false;
    }
    boolean repeats = repeatPolicy.mayRepeat(outcome, gate.isSuspected());
    dependencies.metrics().repeatDecided(service, repeatPolicy.lastDecision());
    return repeats;
  }

  @Override
  public void onRepeat(AttemptOutcome outcome) {
    if (outcome == AttemptOutcome.NOT_PERMITTED) {
      // It was not asked, so a later start under the same id may be.
      triedUpstreams.remove(upstreamId);
    }
    log.repeating(outcome, repeatPolicy.lastDecision());
    startAttempt();
  }

  @Override
  public void onErrorResponse(Runnable send) {
    errorResponse = Optional.of(send);
  }

  @Override
  public void onResponseStarted(int status) {
    log.responseStarted(status);
    firstByteMs = dependencies.clock().millis() - sentAtMs;
    stages.ifPresent(StageGraphRun::abandon);
  }

  @Override
  public void onResponseEnded(HttpEnd end) {
    if (end instanceof HttpEnd.Completed completed) {
      long totalMs = dependencies.clock().millis() - sentAtMs;
      dependencies.responseTimes().observe(request.route().name(), firstByteMs, totalMs);
      log.bodyReceived(completed.body());
      finish("answered");
    } else {
      log.bodyBroken(end);
      finish("broken_off");
    }
  }

  @Override
  public void onRelaying() {
    attempt = Optional.of(relays);
    stages.ifPresent(StageGraphRun::abandon);
  }

  @Override
  public boolean mayWriteRelayed() {
    boolean permitted = !ended && remainingMs() > 0;
    attemptWritten |= permitted;
    return permitted;
  }

  @Override
  public void onRelayEnded(String end) {
    finish(end);
  }

  @Override
  public void onRelayRefused(Refusal refusal, String reason) {
    refuse(refusal, reason);
  }

  @Override
  public void onFailed(AttemptOutcome outcome) {
    if (outcome == AttemptOutcome.NOT_REACHED
        && relays.startIfNotConnected(repeatPolicy.mayHaveRun())) {
      return;
    }
    switch (outcome) {
      case NOT_RUN, NOT_REACHED, NOT_PERMITTED ->
          refuse(
              Refusal.unavailable(
                  "the upstreams of service " + service + " did not run the request",
                  retryTimes.withoutUpstream(streamVersion.target(), remainingMs())),
              "not_run");
      default -> refuse(Refusal.OUTCOME_UNKNOWN, "lost");
    }
  }

  private void onDeadline() {
    if (ended) {
      return;
    }
    boolean responseStarted = isResponseStarted();
    attempt.ifPresent(Attempt::abort);
    if (responseStarted) {
      finish("deadline_in_answer");
      relay.abort();
    } else {
      refuse(attemptWritten ? Refusal.TIMED_OUT : Refusal.DEADLINE_PASSED, "deadline");
    }
  }

  /**
   * Returns whether the head of the response was passed to the caller.
   *
   * @return whether the response has started
   */
  boolean isResponseStarted() {
    return attempt.filter(Attempt::responseStarted).isPresent();
  }

  /**
   * Answers the request because the process ends. Must not be called after its response started.
   */
  void onStop() {
    attempt.ifPresent(Attempt::abort);
    refuse(attemptWritten ? Refusal.OUTCOME_UNKNOWN : Refusal.STOPPING, "stopped");
  }

  /** Ends the request in the middle of its response because the process ends. */
  void cutOffAtStop() {
    attempt.ifPresent(Attempt::abort);
    finish("stopped_in_answer");
    relay.abort();
  }

  /** Aborts the run when the caller has disconnected. */
  void onCallerDisconnected() {
    if (!ended) {
      attempt.ifPresent(Attempt::abort);
      finish("caller_left");
    }
    exchange.endExchange();
  }

  /** Refuses the request, unless an upstream has responded to it with an error. */
  private void refuse(Refusal refusal, String reason) {
    if (errorResponse.isPresent()) {
      errorResponse.get().run();
      return;
    }
    finish(reason);
    boolean wouldDenyRun = repeatPolicy.mayHaveRun() && refusal.guaranteesNotRun();
    RefusalWriter.write(exchange, wouldDenyRun ? Refusal.OUTCOME_UNKNOWN : refusal);
  }

  private void finish(String end) {
    if (ended) {
      return;
    }
    ended = true;
    dependencies.runsInFlight().remove(this);
    deadline.cancel();
    stages.ifPresent(StageGraphRun::abandon);
    log.ended(end, repeatPolicy.attempts(), repeatPolicy.lastDecision());
  }
}
