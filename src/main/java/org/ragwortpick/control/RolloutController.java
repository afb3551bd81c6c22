package org.ragwortpick.control;

import io.vavr.control.Either;
import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.ragwortpick.config.Rollout;
import org.ragwortpick.control.leader.LeaderLease;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.rollout.RolloutBounds;
import org.ragwortpick.rollout.RolloutTrial;
import org.ragwortpick.rollout.VersionReport;

/**
 * Advances the rollouts on the leader. Each replica measures how long a rollout has been running
 * since it learnt of its last progress, so that the time goes on when the leader changes.
 */
public final class RolloutController {

  private static final Logger LOG = Logger.getLogger(RolloutController.class);

  private static final long POLL_INTERVAL_MS = 250;

  /** Interval at which the progress is replicated; each one reaches all VMs. */
  private static final long PROGRESS_INTERVAL_MS = 1_500;

  /** Time after which a proposal without an outcome no longer holds back the next one. */
  private static final long PROPOSAL_TIMEOUT_MS = 5_000;

  private final ConfigurationStateMachine machine;
  private final LeaderAdministration administration;
  private final LeaderLease lease;
  private final RolloutBounds bounds;
  private final Supplier<List<VersionReport>> reports;
  private final Supplier<Set<String>> entryVms;
  private final BiPredicate<String, String> hasUpstream;
  private final Clock clock;
  private final Map<String, Watch> watches = new HashMap<>();

  /**
   * Creates the controller.
   *
   * @param machine local state machine of the group {@code config}
   * @param administration administration on the local replica
   * @param lease lease of the local replica as leader of the group
   * @param bounds bounds of rollouts
   * @param reports newest reports of all VMs
   * @param entryVms names of the VMs that may send requests to upstreams
   * @param hasUpstream whether a service has an upstream of a version
   * @param clock monotonic clock
   */
  public RolloutController(
      ConfigurationStateMachine machine,
      LeaderAdministration administration,
      LeaderLease lease,
      RolloutBounds bounds,
      Supplier<List<VersionReport>> reports,
      Supplier<Set<String>> entryVms,
      BiPredicate<String, String> hasUpstream,
      Clock clock) {
    this.machine = machine;
    this.administration = administration;
    this.lease = lease;
    this.bounds = bounds;
    this.reports = reports;
    this.entryVms = entryVms;
    this.hasUpstream = hasUpstream;
    this.clock = clock;
  }

  /**
   * Starts to poll.
   *
   * @param scheduler runs the polls
   * @return ends the polls when it is closed
   */
  public AutoCloseable start(ScheduledExecutorService scheduler) {
    ScheduledFuture<?> schedule =
        scheduler.scheduleWithFixedDelay(
            this::pollSafely, POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    return () -> schedule.cancel(false);
  }

  private void pollSafely() {
    try {
      poll();
    } catch (RuntimeException e) {
      // An uncaught exception would cancel the schedule and stop all rollouts.
      LOG.errorf(e, "rollout check failed; the next one runs in %d ms", POLL_INTERVAL_MS);
    }
  }

  /** Measures the time of the running rollouts and, on the leader, decides about them. */
  synchronized void poll() {
    Map<String, Rollout> rollouts = machine.current().configuration().rollouts();
    watches
        .keySet()
        .removeIf(service -> !rollouts.containsKey(service) || !rollouts.get(service).isRunning());
    boolean leads = lease.isHeld();
    rollouts.forEach(
        (service, rollout) -> {
          if (rollout.isRunning()) {
            Watch watch = watches.computeIfAbsent(service, name -> new Watch(rollout));
            watch.update(rollout);
            if (leads) {
              watch.decide(service);
            }
          }
        });
  }

  /** Running rollout as the local VM sees it. */
  private final class Watch {

    private Rollout known;
    private long knownSinceMs;
    private RolloutTrial trial;
    private boolean proposing;

    Watch(Rollout rollout) {
      known = rollout;
      knownSinceMs = clock.millis();
    }

    void update(Rollout rollout) {
      if (rollout.equals(known)) {
        return;
      }
      if (rollout.order() != known.order()) {
        trial = null;
        knownSinceMs = clock.millis();
      } else if (rollout.elapsedMs() > elapsedMs()) {
        knownSinceMs = clock.millis();
      } else {
        // The progress was measured a moment ago and the local measurement has gone on since.
        knownSinceMs += rollout.elapsedMs() - known.elapsedMs();
      }
      known = rollout;
    }

    long elapsedMs() {
      return known.elapsedMs() + clock.millis() - knownSinceMs;
    }

    void decide(String service) {
      if (trial == null) {
        trial = new RolloutTrial(bounds, known.durationMs());
      }
      for (VersionReport report : reports.get()) {
        if (report.service().equals(service) && report.order() == known.order()) {
          trial.observe(report);
        }
      }
      long elapsedMs = elapsedMs();
      RolloutTrial.Decision decision =
          trial.decide(
              known.state(), elapsedMs, entryVms.get(), hasUpstream.test(service, known.to()));
      boolean changes = decision.next() != known.state();
      if (proposing || !changes && elapsedMs - known.elapsedMs() < PROGRESS_INTERVAL_MS) {
        return;
      }
      if (changes) {
        log(service, elapsedMs, decision);
      }
      Rollout progressed = known.at(elapsedMs, trial.share(elapsedMs));
      propose(service, progressed, decision.next());
    }

    private void propose(String service, Rollout progressed, Rollout.State next) {
      proposing = true;
      startProposal(service, progressed, next)
          .orTimeout(PROPOSAL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
          .whenComplete(
              (result, failure) -> {
                synchronized (RolloutController.this) {
                  proposing = false;
                }
                if (failure != null || result.isLeft()) {
                  LOG.infof(
                      "progress of the rollout of service %s was not accepted: %s",
                      service, failure != null ? failure : result.getLeft().message());
                }
              });
    }

    private CompletableFuture<Either<AdministrationError, AcceptedChange>> startProposal(
        String service, Rollout progressed, Rollout.State next) {
      try {
        return administration.advanceRollout(service, progressed, next).toCompletableFuture();
      } catch (RuntimeException e) {
        return CompletableFuture.failedFuture(e);
      }
    }

    private void log(String service, long elapsedMs, RolloutTrial.Decision decision) {
      List<Long> evidence = trial.evidence();
      DecisionLine.of("rollout decided")
          .with("service", service)
          .with("to", known.to())
          .with("state", decision.next())
          .with("reason", decision.reason())
          .with("elapsedMs", elapsedMs)
          .with("sentOld", evidence.get(0))
          .with("sentNew", evidence.get(1))
          .with("newResponses", evidence.get(2))
          .with("badResponses", evidence.get(3))
          .info(LOG);
    }
  }
}
