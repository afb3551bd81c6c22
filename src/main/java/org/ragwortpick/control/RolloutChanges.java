package org.ragwortpick.control;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.jboss.logging.Logger;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.ConfigurationProblem;
import org.ragwortpick.config.Rollout;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.proto.AnswerKind;
import org.ragwortpick.proto.AnswerMessage;
import org.ragwortpick.proto.ChangeCommand;
import org.ragwortpick.rollout.RolloutBounds;
import org.ragwortpick.routing.RoutingConfiguration;
import org.ragwortpick.routing.ServiceProfile;
import org.ragwortpick.routing.WeightedService;

/** Computes the changes that start rollouts and advance them. */
final class RolloutChanges {

  private static final Logger LOG = Logger.getLogger(RolloutChanges.class);

  private static final String REQUEST = "request";

  /** Accepted orders of a service by which a repeated one is recognised. */
  private static final int MAX_ACCEPTED_ORDERS = 64;

  /** Ten days; a longer duration is a mistyped one. */
  private static final long MAX_DURATION_MS = 864_000_000;

  private final Optional<RolloutBounds> bounds;

  /**
   * Creates the computation.
   *
   * @param bounds bounds of rollouts; empty to refuse all orders
   */
  RolloutChanges(Optional<RolloutBounds> bounds) {
    this.bounds = bounds;
  }

  /**
   * Computes the change that starts a rollout. An order that was accepted before changes nothing
   * and is acknowledged again, whatever became of it.
   *
   * @param request the order
   * @param base version that the change is based on
   * @return the change, which is refused if the order is invalid or another rollout is running; a
   *     conflict if a rollout was ordered or ended after the revision on which the order is based
   */
  Either<AdministrationError, ChangeCommand.Builder> start(
      StartRolloutRequest request, ConfigurationVersion base) {
    Configuration current = base.configuration();
    Optional<Rollout> last = Optional.ofNullable(current.rollouts().get(request.service()));
    Rollout.Order order = new Rollout.Order(request.to(), request.durationMs());
    if (last.filter(rollout -> rollout.accepted().contains(order)).isPresent()) {
      log(request, base, "acknowledged_again");
      return Either.right(accepted());
    }
    List<String> findings = validate(request, current);
    if (!findings.isEmpty()) {
      log(request, base, "invalid");
      ChangeCommand.Builder change = ChangeCommand.newBuilder();
      LeaderAdministration.refuse(change, findings);
      return Either.right(change);
    }
    if (last.filter(Rollout::isRunning).isPresent()) {
      log(request, base, "another_is_running");
      return Either.right(refuseWhileRunning(last.get()));
    }
    if (last.filter(rollout -> rollout.changedAt() > request.baseRevision()).isPresent()) {
      log(request, base, "outdated");
      return Either.left(new AdministrationError.Conflict(base.revision()));
    }
    log(request, base, "started");
    ChangeCommand.Builder change = accepted();
    put(change, base, request.service(), begin(order, last, base.revision() + 1));
    return Either.right(change);
  }

  private Rollout begin(Rollout.Order order, Optional<Rollout> last, long revision) {
    RolloutBounds limits = bounds.orElseThrow();
    String established = last.map(Rollout::established).orElse("");
    List<String> rejected = new ArrayList<>(last.map(Rollout::rejected).orElse(List.of()));
    rejected.remove(order.to());
    List<Rollout.Order> accepted = new ArrayList<>(last.map(Rollout::accepted).orElse(List.of()));
    accepted.add(order);
    Rollout begun =
        new Rollout(
            order.to(),
            order.durationMs(),
            Rollout.State.RUNNING,
            0,
            limits.shareAt(0, order.durationMs()),
            limits.maxViewAgeMs(),
            revision,
            revision,
            established,
            rejected,
            accepted.subList(Math.max(0, accepted.size() - MAX_ACCEPTED_ORDERS), accepted.size()));
    // The traffic is at this version already.
    return established.equals(order.to()) ? begun.in(Rollout.State.COMPLETED, revision) : begun;
  }

  private List<String> validate(StartRolloutRequest request, Configuration current) {
    List<String> findings = new ArrayList<>();
    if (bounds.isEmpty()) {
      findings.add("rollouts are not enabled; state their bounds in the settings of all VMs");
    }
    TreeSet<String> services = serviceNames(current);
    if (!services.contains(request.service())) {
      findings.add(
          new ConfigurationProblem.UnknownName(
                  REQUEST, "service", request.service(), "service", List.copyOf(services))
              .message());
    }
    if (request.to().isBlank()) {
      findings.add("to: the version is empty; name the one that the new upstreams announce");
    }
    if (request.durationMs() <= 0 || request.durationMs() > MAX_DURATION_MS) {
      findings.add("duration: the time is not between 1 ms and 10 days; correct it");
    }
    return findings;
  }

  private static TreeSet<String> serviceNames(Configuration current) {
    TreeSet<String> names = new TreeSet<>();
    current.routing().map(RoutingConfiguration::services).orElse(List.of()).stream()
        .map(ServiceProfile::name)
        .forEach(names::add);
    current
        .routing()
        .map(RoutingConfiguration::routes)
        .orElse(List.of())
        .forEach(
            route -> route.services().stream().map(WeightedService::service).forEach(names::add));
    return names;
  }

  private static ChangeCommand.Builder refuseWhileRunning(Rollout running) {
    return ChangeCommand.newBuilder()
        .setRefused(true)
        .setAnswer(
            AnswerMessage.newBuilder()
                .setKind(AnswerKind.ANSWER_KIND_ROLLOUT_RUNNING)
                .addFindings(running.to()));
  }

  /**
   * Computes the change that advances a running rollout.
   *
   * @param service name of the service
   * @param progressed the rollout with its progress
   * @param next next state
   * @param base version that the change is based on
   * @return the change; a conflict if the rollout has ended or another one was ordered
   */
  Either<AdministrationError, ChangeCommand.Builder> advance(
      String service, Rollout progressed, Rollout.State next, ConfigurationVersion base) {
    Rollout current = base.configuration().rollouts().get(service);
    boolean isCurrent =
        current != null
            && current.order() == progressed.order()
            && current.isRunning()
            && current.state().compareTo(next) <= 0;
    if (!isCurrent) {
      return Either.left(new AdministrationError.Conflict(base.revision()));
    }
    Rollout inState = current.at(progressed.elapsedMs(), progressed.share());
    Rollout changed = next == current.state() ? inState : inState.in(next, base.revision() + 1);
    ChangeCommand.Builder change = accepted();
    put(change, base, service, changed);
    return Either.right(change);
  }

  private static ChangeCommand.Builder accepted() {
    return ChangeCommand.newBuilder()
        .setAnswer(AnswerMessage.newBuilder().setKind(AnswerKind.ANSWER_KIND_ACCEPTED));
  }

  private static void put(
      ChangeCommand.Builder change, ConfigurationVersion base, String service, Rollout rollout) {
    Configuration current = base.configuration();
    Map<String, Rollout> rollouts = new HashMap<>(current.rollouts());
    rollouts.put(service, rollout);
    LeaderAdministration.putDelta(
        change,
        base,
        new Configuration(
            base.revision() + 1,
            current.inventory(),
            current.rules(),
            current.orderRevisions(),
            current.routing(),
            rollouts));
  }

  private static void log(StartRolloutRequest request, ConfigurationVersion base, String decision) {
    DecisionLine.of("order for a rollout evaluated")
        .with("service", request.service())
        .with("to", request.to())
        .with("durationMs", request.durationMs())
        .with("orderBaseRevision", request.baseRevision())
        .with("baseRevision", base.revision())
        .with("decision", decision)
        .info(LOG);
  }
}
