package org.ragwortpick.control;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.ConfigurationDocuments;
import org.ragwortpick.config.ConfigurationProblem;
import org.ragwortpick.config.ConfigurationValidator;
import org.ragwortpick.config.DataCentreState;
import org.ragwortpick.config.DocumentDelta;
import org.ragwortpick.config.Inventory;
import org.ragwortpick.config.Rollout;
import org.ragwortpick.config.Rules;
import org.ragwortpick.consensus.AppliedEntry;
import org.ragwortpick.consensus.ConsensusError;
import org.ragwortpick.consensus.ConsensusGroup;
import org.ragwortpick.control.leader.LeaderLease;
import org.ragwortpick.proto.AnswerKind;
import org.ragwortpick.proto.AnswerMessage;
import org.ragwortpick.proto.ChangeCommand;
import org.ragwortpick.proto.ConfigurationCommand;
import org.ragwortpick.rollout.RolloutBounds;
import org.ragwortpick.routing.RoutingConfiguration;
import org.ragwortpick.routing.RoutingProblem;
import org.ragwortpick.routing.RoutingValidator;

/** Executes operator requests on the leader of the group {@code config}. */
public final class LeaderAdministration implements Administration {

  private static final String INVENTORY = "inventory";
  private static final String RULES = "rules";

  /** Maximum number of findings in an answer; up to 10,000 answers are stored and replicated. */
  private static final int MAX_FINDINGS = 100;

  /** Maximum number of times that a change is computed when it conflicts with other changes. */
  private static final int MAX_ATTEMPTS = 10;

  private final ConsensusGroup group;
  private final ConfigurationStateMachine machine;
  private final LeaderLease lease;
  private final DataCentreChanges dataCentreChanges;
  private final VoterRequirement voterRequirement;
  private final RolloutChanges rolloutChanges;

  /**
   * Creates the administration of one control VM.
   *
   * @param group the group {@code config}
   * @param machine its local state machine
   * @param lease lease of the local replica as leader of the group
   * @param placement creates plans for the remaining data centres
   * @param voterRequirement voters needed to accept a change
   * @param rolloutBounds bounds of rollouts; empty to refuse them
   */
  public LeaderAdministration(
      ConsensusGroup group,
      ConfigurationStateMachine machine,
      LeaderLease lease,
      PlacementSource placement,
      VoterRequirement voterRequirement,
      Optional<RolloutBounds> rolloutBounds) {
    this.group = group;
    this.machine = machine;
    this.lease = lease;
    this.dataCentreChanges = new DataCentreChanges(placement);
    this.voterRequirement = voterRequirement;
    this.rolloutChanges = new RolloutChanges(rolloutBounds);
  }

  @Override
  public CompletionStage<Either<AdministrationError, AcceptedChange>> propose(
      ProposeRequest request, long timeoutMs) {
    return requireId(request.requestId()).orElseGet(() -> propose(request, MAX_ATTEMPTS));
  }

  private CompletionStage<Either<AdministrationError, AcceptedChange>> propose(
      ProposeRequest request, int attemptsLeft) {
    ConfigurationVersion base = machine.current();
    ChangeCommand.Builder change =
        ChangeCommand.newBuilder()
            .setRequestId(request.requestId())
            .setRequestDigest(ControlCodec.digest(ControlCodec.encode(request)))
            .setBaseRevision(request.baseRevision());
    if (request.baseRevision() == base.revision()) {
      evaluate(change, request, base);
    } else {
      // The state machine reports the conflict, or returns the first answer if this is a resend.
      // If this is a new leader that had not applied all changes when it read the current revision,
      // the conflict names the base revision itself, and the change is computed again.
      change.setUnevaluated(true);
    }
    return propose(change)
        .thenCompose(
            result ->
                isConflictAt(result, request.baseRevision()) && attemptsLeft > 1
                    ? propose(request, attemptsLeft - 1)
                    : CompletableFuture.completedFuture(result.flatMap(ControlCodec::decode)));
  }

  private static boolean isConflictAt(
      Either<AdministrationError, AnswerMessage> result, long revision) {
    return result.isRight()
        && result.get().getKind() == AnswerKind.ANSWER_KIND_CONFLICT
        && result.get().getRevision() == revision;
  }

  private static void evaluate(
      ChangeCommand.Builder change, ProposeRequest request, ConfigurationVersion base) {
    Configuration current = base.configuration();
    Inventory inventory = request.inventory().orElse(current.inventory());
    Rules rules = request.rules().orElse(current.rules());
    List<String> findings = validate(request, inventory, rules, current.rules());
    if (!findings.isEmpty()) {
      refuse(change, findings);
      return;
    }
    Map<String, DataCentreState> states = new HashMap<>(current.rules().dataCentres());
    states.keySet().retainAll(inventory.dataCentres());
    Configuration proposed =
        new Configuration(
            base.revision() + 1,
            inventory,
            new Rules(
                rules.neverTwice(), rules.workspaceOrder(), rules.minimumSharePercent(), states),
            current.orderRevisions(),
            current.routing(),
            current.rollouts());
    putDelta(change, base, proposed);
    change.setAnswer(AnswerMessage.newBuilder().setKind(AnswerKind.ANSWER_KIND_ACCEPTED));
  }

  private static List<String> validate(
      ProposeRequest request, Inventory inventory, Rules rules, Rules currentRules) {
    List<ConfigurationProblem> problems = new ArrayList<>();
    if (request.inventory().isPresent()) {
      problems.addAll(ConfigurationValidator.validate(INVENTORY, inventory));
    }
    Map<String, DataCentreState> states = new HashMap<>(rules.dataCentres());
    boolean statesProposed = request.rules().isPresent() && !states.isEmpty();
    if (statesProposed && !states.equals(currentRules.dataCentres())) {
      problems.add(
          new ConfigurationProblem.UnknownKey(
              RULES,
              "dataCentres",
              states.toString(),
              "leave it out; take a data centre out or return it instead"));
    }
    Rules withoutStates =
        new Rules(rules.neverTwice(), rules.workspaceOrder(), rules.minimumSharePercent(), null);
    problems.addAll(ConfigurationValidator.validate(RULES, withoutStates, inventory));
    return problems.stream().map(ConfigurationProblem::message).toList();
  }

  /**
   * Turns a change into a refused one, which changes no document.
   *
   * @param change the change
   * @param findings reasons for the refusal
   */
  static void refuse(ChangeCommand.Builder change, List<String> findings) {
    change
        .setRefused(true)
        .setAnswer(
            AnswerMessage.newBuilder()
                .setKind(AnswerKind.ANSWER_KIND_INVALID)
                .addAllFindings(findings.stream().limit(MAX_FINDINGS).toList()));
  }

  /**
   * Adds the differences between two configurations to a change.
   *
   * @param change the change
   * @param base version that the change is based on
   * @param proposed configuration after the change
   */
  static void putDelta(
      ChangeCommand.Builder change, ConfigurationVersion base, Configuration proposed) {
    DocumentDelta delta =
        DocumentDelta.between(
            base.revision(), base.documents(), ConfigurationDocuments.toDocuments(proposed));
    change.putAllPuts(delta.puts()).addAllDeletes(delta.deletes());
  }

  @Override
  public CompletionStage<Either<AdministrationError, AcceptedChange>> replaceRouting(
      RoutingConfiguration routing, long timeoutMs) {
    List<String> findings =
        RoutingValidator.validate(routing).stream().map(RoutingProblem::message).toList();
    if (!findings.isEmpty()) {
      return CompletableFuture.completedFuture(
          Either.left(new AdministrationError.Invalid(findings)));
    }
    return proposeOnCurrentRevision(
        base -> Either.right(RoutingChange.compute(routing, base)), "", "", MAX_ATTEMPTS);
  }

  @Override
  public CompletionStage<Either<AdministrationError, AcceptedChange>> takeOut(
      TakeOutRequest request, long timeoutMs) {
    String digest = ControlCodec.digest(request);
    return requireId(request.requestId())
        .orElseGet(
            () ->
                proposeOnCurrentRevision(
                    base -> dataCentreChanges.takeOut(request, base),
                    request.requestId(),
                    digest,
                    MAX_ATTEMPTS));
  }

  @Override
  public CompletionStage<Either<AdministrationError, AcceptedChange>> returnToService(
      ReturnRequest request, long timeoutMs) {
    String digest = ControlCodec.digest(request);
    return requireId(request.requestId())
        .orElseGet(
            () ->
                proposeOnCurrentRevision(
                    base -> dataCentreChanges.returnToService(request, base),
                    request.requestId(),
                    digest,
                    MAX_ATTEMPTS));
  }

  @Override
  public CompletionStage<Either<AdministrationError, AcceptedChange>> startRollout(
      StartRolloutRequest request, long timeoutMs) {
    return proposeOnCurrentRevision(
        base -> rolloutChanges.start(request, base), "", "", MAX_ATTEMPTS);
  }

  /**
   * Commits the progress or the end of a rollout.
   *
   * @param service name of the service
   * @param progressed the rollout with its progress
   * @param next next state
   * @return the accepted change, or the reason why nothing was changed
   */
  CompletionStage<Either<AdministrationError, AcceptedChange>> advanceRollout(
      String service, Rollout progressed, Rollout.State next) {
    return proposeOnCurrentRevision(
        base -> rolloutChanges.advance(service, progressed, next, base), "", "", MAX_ATTEMPTS);
  }

  /**
   * Commits a transition of a data centre that no operator requested, such as the end of a ramp.
   *
   * @param dataCentre name of the data centre
   * @param expected state in which the transition applies
   * @param event event of {@code data-centre.json}
   * @return the accepted change, or the reason why nothing was changed
   */
  CompletionStage<Either<AdministrationError, AcceptedChange>> advance(
      String dataCentre, DataCentreState expected, String event) {
    ConfigurationVersion base = machine.current();
    if (base.configuration().stateOf(dataCentre) != expected) {
      return CompletableFuture.completedFuture(
          Either.left(new AdministrationError.Conflict(base.revision())));
    }
    ChangeCommand.Builder change = dataCentreChanges.advance(base, dataCentre, event);
    return propose(change.setBaseRevision(base.revision()).setLeaderBase(true))
        .thenApply(result -> result.flatMap(ControlCodec::decode));
  }

  /** Proposes a change on the current revision and recomputes it after a conflict. */
  private CompletionStage<Either<AdministrationError, AcceptedChange>> proposeOnCurrentRevision(
      Function<ConfigurationVersion, Either<AdministrationError, ChangeCommand.Builder>>
          computation,
      String requestId,
      String digest,
      int attemptsLeft) {
    ConfigurationVersion base = machine.current();
    Either<AdministrationError, ChangeCommand.Builder> computed = computation.apply(base);
    if (computed.isLeft()) {
      return machine.hasAnswered(requestId)
          ? proposeAnswered(requestId, digest)
          : CompletableFuture.completedFuture(Either.left(computed.getLeft()));
    }
    ChangeCommand.Builder change =
        computed
            .get()
            .setRequestId(requestId)
            .setRequestDigest(digest)
            .setBaseRevision(base.revision())
            .setLeaderBase(true);
    return propose(change)
        .thenCompose(
            result ->
                result.isRight()
                        && result.get().getKind() == AnswerKind.ANSWER_KIND_CONFLICT
                        && attemptsLeft > 1
                    ? proposeOnCurrentRevision(computation, requestId, digest, attemptsLeft - 1)
                    : CompletableFuture.completedFuture(result.flatMap(ControlCodec::decode)));
  }

  /** Returns the first answer to a request that was sent again after it had been accepted. */
  private CompletionStage<Either<AdministrationError, AcceptedChange>> proposeAnswered(
      String requestId, String digest) {
    ChangeCommand.Builder change =
        ChangeCommand.newBuilder()
            .setRequestId(requestId)
            .setRequestDigest(digest)
            .setUnevaluated(true);
    return propose(change).thenApply(result -> result.flatMap(ControlCodec::decode));
  }

  private CompletionStage<Either<AdministrationError, AnswerMessage>> propose(
      ChangeCommand.Builder change) {
    if (!hasEnoughVoters()) {
      return CompletableFuture.completedFuture(
          Either.left(new AdministrationError.NotLeader(Optional.empty())));
    }
    byte[] command = ConfigurationCommand.newBuilder().setChange(change).build().toByteArray();
    return group
        .propose(command)
        .thenApply(
            result ->
                result.fold(
                    error -> Either.left(toAdministrationError(error)),
                    applied -> Either.right(decode(applied))));
  }

  private boolean hasEnoughVoters() {
    return voterRequirement.isAlwaysMet()
        || !group.leadership().leader()
        || voterRequirement.isMet(group.status().voters().size());
  }

  private static AdministrationError toAdministrationError(ConsensusError error) {
    if (error instanceof ConsensusError.NotLeader notLeader) {
      return new AdministrationError.NotLeader(notLeader.leaderVm());
    }
    return error instanceof ConsensusError.StorageFailed
        ? new AdministrationError.NotLeader(Optional.empty())
        : new AdministrationError.OutcomeUnknown();
  }

  private static AnswerMessage decode(AppliedEntry applied) {
    try {
      return AnswerMessage.parseFrom(applied.result());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("the result of a change cannot be decoded", e);
    }
  }

  private static Optional<CompletionStage<Either<AdministrationError, AcceptedChange>>> requireId(
      String requestId) {
    if (!requestId.isBlank()) {
      return Optional.empty();
    }
    String finding = "requestId: the value is absent; send a new id and repeat it in resends";
    return Optional.of(
        CompletableFuture.completedFuture(
            Either.left(new AdministrationError.Invalid(List.of(finding)))));
  }

  @Override
  public CompletionStage<Either<AdministrationError, ConfigurationVersion>> read(long timeoutMs) {
    return lease
        .awaitConfirmation(timeoutMs)
        .thenApply(
            confirmed ->
                confirmed
                    ? Either.right(machine.current())
                    : Either.left(
                        new AdministrationError.NotLeader(group.leadership().leaderVm())));
  }
}
