package org.ragwortpick.control;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.ragwortpick.common.StateChart;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.ConfigurationProblem;
import org.ragwortpick.config.DataCentreState;
import org.ragwortpick.config.Rules;
import org.ragwortpick.proto.AnswerKind;
import org.ragwortpick.proto.AnswerMessage;
import org.ragwortpick.proto.ChangeCommand;

/** Computes the changes that take data centres out of service and return them. */
final class DataCentreChanges {

  private static final String PREPARE = "PREPARE";
  private static final String RETURN = "RETURN";
  private static final String TAKE_OUT = "TAKE_OUT";
  private static final String RAMPED = "RAMPED";

  private final StateChart chart = StateChart.load("data-centre.json");
  private final PlacementSource placement;

  /**
   * Creates the computation.
   *
   * @param placement creates plans for the remaining data centres
   */
  DataCentreChanges(PlacementSource placement) {
    this.placement = placement;
  }

  /**
   * Computes the change that takes a data centre out.
   *
   * @param request the request
   * @param base version that the change is based on
   * @return the change, which is refused if the request is invalid; a conflict if a later order for
   *     the data centre was accepted
   */
  Either<AdministrationError, ChangeCommand.Builder> takeOut(
      TakeOutRequest request, ConfigurationVersion base) {
    return unlessOutdated(
        request.dataCentre(), request.baseRevision(), base, () -> takeOutNow(request, base));
  }

  private ChangeCommand.Builder takeOutNow(TakeOutRequest request, ConfigurationVersion base) {
    Configuration current = base.configuration();
    String name = request.dataCentre();
    if (!isDataCentre(current, name)) {
      return refuseUnknownDataCentre(current, name);
    }
    Set<String> remaining = remainingWithout(current, name);
    if (remaining.isEmpty() && !request.now()) {
      return refuse(
          "dataCentre: "
              + name
              + " is the last data centre in service; return another one first or set now");
    }
    PlacementPlan plan = placement.plan(current.inventory(), remaining);
    boolean immediate = request.now() || placement.isComplete() && plan.isReady();
    List<String> unplaced = request.now() ? plan.missing() : plan.unplaced();
    String event = immediate ? TAKE_OUT : PREPARE;
    return order(base, name, List.of(event), unplaced);
  }

  /** An order that changes nothing is recorded too: its acknowledgement binds as any other. */
  private ChangeCommand.Builder order(
      ConfigurationVersion base, String dataCentre, List<String> events, List<String> unplaced) {
    Map<String, Long> orderRevisions = new HashMap<>(base.configuration().orderRevisions());
    orderRevisions.put(dataCentre, base.revision() + 1);
    return transition(base, dataCentre, events, unplaced, orderRevisions);
  }

  /**
   * An order may arrive long after its operator has given it up and sent others, for example from a
   * process that was suspended. The revision tells what the operator can have known.
   */
  private static Either<AdministrationError, ChangeCommand.Builder> unlessOutdated(
      String dataCentre,
      OptionalLong baseRevision,
      ConfigurationVersion base,
      Supplier<ChangeCommand.Builder> change) {
    long lastOrder = base.configuration().orderRevisions().getOrDefault(dataCentre, 0L);
    if (baseRevision.isPresent() && lastOrder > baseRevision.getAsLong()) {
      return Either.left(new AdministrationError.Conflict(base.revision()));
    }
    return Either.right(change.get());
  }

  /** Lists the data centres that take work and are not being taken out, except a given one. */
  private static Set<String> remainingWithout(Configuration current, String leaving) {
    return current.inventory().dataCentres().stream()
        .filter(name -> !name.equals(leaving))
        .filter(current::takesWork)
        .filter(name -> current.stateOf(name) != DataCentreState.PREPARING)
        .collect(Collectors.toSet());
  }

  /**
   * Computes the change that returns a data centre to service.
   *
   * @param request the request
   * @param base version that the change is based on
   * @return the change, which is refused if the request is invalid; a conflict if a later order for
   *     the data centre was accepted
   */
  Either<AdministrationError, ChangeCommand.Builder> returnToService(
      ReturnRequest request, ConfigurationVersion base) {
    return unlessOutdated(
        request.dataCentre(), request.baseRevision(), base, () -> returnNow(request, base));
  }

  private ChangeCommand.Builder returnNow(ReturnRequest request, ConfigurationVersion base) {
    Configuration current = base.configuration();
    if (!isDataCentre(current, request.dataCentre())) {
      return refuseUnknownDataCentre(current, request.dataCentre());
    }
    boolean ramps = !current.inventory().dataCentres().isEmpty();
    return order(
        base, request.dataCentre(), ramps ? List.of(RETURN) : List.of(RETURN, RAMPED), List.of());
  }

  /** Accepts any name if there is no inventory, as in a deployment that forwards requests. */
  private static boolean isDataCentre(Configuration current, String name) {
    List<String> names = current.inventory().dataCentres();
    return names.isEmpty() || names.contains(name);
  }

  /**
   * Computes a change to the state of a data centre that no operator ordered.
   *
   * @param base version that the change is based on
   * @param dataCentre name of the data centre
   * @param event event of {@code data-centre.json}
   * @return the change
   */
  ChangeCommand.Builder advance(ConfigurationVersion base, String dataCentre, String event) {
    return transition(
        base, dataCentre, List.of(event), List.of(), base.configuration().orderRevisions());
  }

  /**
   * An event that does not apply in the present state, such as a second take-out, has no effect.
   */
  private ChangeCommand.Builder transition(
      ConfigurationVersion base,
      String dataCentre,
      List<String> events,
      List<String> unplaced,
      Map<String, Long> orderRevisions) {
    Configuration current = base.configuration();
    DataCentreState after = current.stateOf(dataCentre);
    for (String event : events) {
      after = chart.next(after.name(), event).map(DataCentreState::valueOf).orElse(after);
    }
    Map<String, DataCentreState> states = new HashMap<>(current.rules().dataCentres());
    states.put(dataCentre, after);
    Rules rules = current.rules();
    ChangeCommand.Builder change = ChangeCommand.newBuilder();
    LeaderAdministration.putDelta(
        change,
        base,
        new Configuration(
            base.revision() + 1,
            current.inventory(),
            new Rules(
                rules.neverTwice(), rules.workspaceOrder(), rules.minimumSharePercent(), states),
            orderRevisions,
            current.routing(),
            current.rollouts()));
    return change.setAnswer(
        AnswerMessage.newBuilder()
            .setKind(AnswerKind.ANSWER_KIND_ACCEPTED)
            .setDataCentreState(after.name())
            .addAllUnplaced(unplaced));
  }

  private static ChangeCommand.Builder refuseUnknownDataCentre(Configuration current, String name) {
    List<String> names = current.inventory().dataCentres();
    return refuse(
        new ConfigurationProblem.UnknownName("request", "dataCentre", name, "data centre", names)
            .message());
  }

  private static ChangeCommand.Builder refuse(String finding) {
    ChangeCommand.Builder change = ChangeCommand.newBuilder();
    LeaderAdministration.refuse(change, List.of(finding));
    return change;
  }
}
