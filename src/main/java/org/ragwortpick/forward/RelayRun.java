package org.ragwortpick.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jboss.logging.Logger;
import org.ragwortpick.entry.upstream.HttpEnd;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.sync.VmRecord;

/**
 * Sends one request through other VMs until one of them takes it, if the local VM cannot reach its
 * upstreams. A request that another VM relays is not relayed again. Confined to the I/O thread.
 */
final class RelayRun implements Attempt, RelayListener {

  private static final Logger LOG = Logger.getLogger(RelayRun.class);

  /** Maximum number of VMs that are tried for one request. */
  private static final int MAX_PEERS = 3;

  private final ForwardDependencies dependencies;
  private final CallerRequest request;
  private final String service;
  private final AttemptRequests attemptRequests;
  private final ResponseRelay relay;
  private final ResponseMemory.Share memory;
  private final RequestLog log;
  private final RelayOwner owner;
  private final boolean relayedBefore;
  private final Set<String> tried = new HashSet<>();
  private Optional<RelayedAttempt> attempt = Optional.empty();

  /**
   * Creates a run that is not started.
   *
   * @param dependencies dependencies that all requests share
   * @param request the request
   * @param service service of the request
   * @param attemptRequests builds what is sent
   * @param relay passes the response to the caller
   * @param memory counts what the response holds in memory
   * @param log log of the request
   * @param owner receives the end, once no further VM is tried
   */
  RelayRun(
      ForwardDependencies dependencies,
      CallerRequest request,
      String service,
      AttemptRequests attemptRequests,
      ResponseRelay relay,
      ResponseMemory.Share memory,
      RequestLog log,
      RelayOwner owner) {
    this.dependencies = dependencies;
    this.request = request;
    this.service = service;
    this.attemptRequests = attemptRequests;
    this.relay = relay;
    this.memory = memory;
    this.log = log;
    this.owner = owner;
    this.relayedBefore = request.headers().contains(dependencies.headers().relayed());
  }

  /**
   * Relays the request if the local VM does not reach its upstreams. It then counts for the retry
   * budget of the VM that serves it.
   *
   * @return false if the local VM is to serve it
   */
  boolean startIfUnreachable() {
    if (dependencies.relays().paths().reaches(service)) {
      return false;
    }
    if (relayedBefore) {
      owner.onRelayRefused(Refusal.NOT_REACHED_HERE, "not_reached_here");
      return true;
    }
    return start("service_not_reached");
  }

  /**
   * Relays a request for which no connection to an upstream could be opened.
   *
   * @param mayHaveRun whether an upstream may have run the request
   * @return false if the request is to be refused
   */
  boolean startIfNotConnected(boolean mayHaveRun) {
    return !mayHaveRun
        && remainingMs() > 0
        && !dependencies.relays().paths().connects(service)
        && start("no_connection");
  }

  private long remainingMs() {
    return request.deadlineAtMs() - dependencies.clock().millis();
  }

  private boolean start(String reason) {
    if (relayedBefore || tried.size() >= MAX_PEERS || !dependencies.relays().mayHelp(service)) {
      return false;
    }
    Optional<VmRecord> chosen = dependencies.relays().peers().choose(tried);
    chosen.ifPresent(peer -> send(peer, reason));
    return chosen.isPresent();
  }

  private void send(VmRecord peer, String reason) {
    tried.add(peer.vm());
    DecisionLine.of("request relayed")
        .with("request", request.id())
        .with("route", request.route().name())
        .with("service", service)
        .with("vm", peer.vm())
        .with("reason", reason)
        .with("remainingMs", remainingMs())
        .info(LOG);
    owner.onRelaying();
    RelayedAttempt next =
        new RelayedAttempt(request, dependencies.headers(), peer, this, relay, memory);
    attempt = Optional.of(next);
    String localVm = dependencies.relays().peers().localVm();
    next.start(
        dependencies.relays().callClient(),
        attemptRequests.through(peer, localVm, owner::mayWriteRelayed));
  }

  @Override
  public void abort() {
    attempt.ifPresent(RelayedAttempt::abort);
  }

  @Override
  public boolean responseStarted() {
    return attempt.filter(RelayedAttempt::responseStarted).isPresent();
  }

  @Override
  public void onRelayStarted(int status) {
    log.responseStarted(status);
  }

  @Override
  public void onRelayEnded(HttpEnd end) {
    if (end instanceof HttpEnd.Completed completed) {
      log.bodyReceived(completed.body());
      owner.onRelayEnded("relayed");
    } else {
      log.bodyBroken(end);
      owner.onRelayEnded("broken_off");
    }
  }

  @Override
  public void onRelayFailed(boolean notRun) {
    if (!notRun) {
      owner.onFailed(AttemptOutcome.LOST);
    } else if (!start("not_taken_by_vm")) {
      dependencies.relays().recordFutile(service);
      owner.onFailed(AttemptOutcome.NOT_REACHED);
    }
  }
}
