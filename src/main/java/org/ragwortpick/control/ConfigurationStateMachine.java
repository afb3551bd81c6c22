package org.ragwortpick.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.ragwortpick.config.ConfigurationDelta;
import org.ragwortpick.consensus.StateMachine;
import org.ragwortpick.proto.AnswerKind;
import org.ragwortpick.proto.AnswerMessage;
import org.ragwortpick.proto.ChangeCommand;
import org.ragwortpick.proto.ConfigurationCommand;
import org.ragwortpick.proto.ConfigurationSnapshot;
import org.ragwortpick.proto.RequestMessage;
import org.ragwortpick.proto.RevisionMessage;

/**
 * Replicated state machine of the group {@code config}: documents at a revision, answers to
 * operator requests, changes of the last revisions and open orders to engines.
 */
public final class ConfigurationStateMachine implements StateMachine {

  /** Name of the consensus group. */
  public static final String GROUP = "config";

  /** Number of revisions from which a delta can be computed. */
  static final int MAX_CHANGES = 4_096;

  private static final byte[] NO_RESULT = new byte[0];

  private Deque<ConfigurationDelta> changes = new ArrayDeque<>();
  private OperatorRequests requests = new OperatorRequests();
  private Map<String, EngineOrder> orders = new LinkedHashMap<>();
  private volatile ConfigurationVersion current = new ConfigurationVersion(0, new TreeMap<>());

  @Override
  public synchronized byte[] apply(long index, byte[] command) {
    ConfigurationCommand decoded;
    try {
      decoded = ConfigurationCommand.parseFrom(command);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException(
          "a configuration command cannot be decoded; run the same release on all control VMs", e);
    }
    switch (decoded.getOperationCase()) {
      case CHANGE:
        return change(decoded.getChange()).toByteArray();
      case ORDER:
        EngineOrder order = ControlCodec.decode(decoded.getOrder().getOrder());
        orders.values().removeIf(order::replaces);
        orders.put(order.orderId(), order);
        return NO_RESULT;
      case CLOSE_ORDER:
        orders.remove(decoded.getCloseOrder().getOrderId());
        return NO_RESULT;
      default:
        throw new IllegalArgumentException(
            "a configuration command has an unknown operation;"
                + " run the same release on all control VMs");
    }
  }

  private AnswerMessage change(ChangeCommand change) {
    Optional<RequestMessage> known = requests.find(change.getRequestId());
    if (known.isPresent()) {
      return known.get().getRequestDigest().equals(change.getRequestDigest())
          ? known.get().getAnswer()
          : answer(AnswerKind.ANSWER_KIND_REQUEST_ID_REUSED);
    }
    boolean isCurrent = change.getBaseRevision() == current.revision();
    boolean toCompute = isCurrent ? change.getUnevaluated() : change.getLeaderBase();
    if (toCompute) {
      // Not kept as the answer to the request: the leader computes the change again.
      return answer(AnswerKind.ANSWER_KIND_CONFLICT);
    }
    AnswerMessage answer = answer(AnswerKind.ANSWER_KIND_CONFLICT);
    if (isCurrent) {
      if (!change.getRefused()) {
        commit(
            new ConfigurationDelta(
                current.revision(),
                current.revision() + 1,
                new TreeMap<>(change.getPutsMap()),
                new TreeSet<>(change.getDeletesList())));
      }
      answer = change.getAnswer().toBuilder().setRevision(current.revision()).build();
    }
    if (!change.getRequestId().isEmpty()) {
      requests.keep(
          OperatorRequests.entry(change.getRequestId(), change.getRequestDigest(), answer));
    }
    return answer;
  }

  private AnswerMessage answer(AnswerKind kind) {
    return AnswerMessage.newBuilder().setKind(kind).setRevision(current.revision()).build();
  }

  /** A change without effect leaves the revision, so that VMs have nothing to fetch. */
  private void commit(ConfigurationDelta delta) {
    if (delta.isEmpty()) {
      return;
    }
    SortedMap<String, String> changed = new TreeMap<>(current.documents());
    delta.applyTo(changed);
    current = new ConfigurationVersion(delta.toRevision(), changed);
    keep(delta);
  }

  private void keep(ConfigurationDelta delta) {
    changes.addLast(delta);
    if (changes.size() > MAX_CHANGES) {
      changes.removeFirst();
    }
  }

  /**
   * Returns the configuration that the local replica has applied.
   *
   * @return the configuration; it may be behind the leader's on another replica
   */
  public ConfigurationVersion current() {
    return current;
  }

  /**
   * Computes the change since a revision.
   *
   * @param from known revision
   * @return the change to the current revision; empty if that revision is too old or not known, in
   *     which case {@link #full} is needed
   */
  public synchronized Optional<ConfigurationDelta> since(long from) {
    if (from == current.revision()) {
      return Optional.of(new ConfigurationDelta(from, from, new TreeMap<>(), new TreeSet<>()));
    }
    boolean kept = !changes.isEmpty() && changes.getFirst().fromRevision() <= from;
    return kept && from < current.revision()
        ? Optional.of(
            ConfigurationDelta.join(
                changes.stream().filter(change -> change.fromRevision() >= from).toList()))
        : Optional.empty();
  }

  /**
   * Returns all documents.
   *
   * @return the change from no documents to the current revision
   */
  public synchronized ConfigurationDelta full() {
    return new ConfigurationDelta(0, current.revision(), current.documents(), new TreeSet<>());
  }

  /**
   * Lists the open orders.
   *
   * @return the orders, oldest first
   */
  public synchronized List<EngineOrder> orders() {
    return List.copyOf(orders.values());
  }

  @Override
  public synchronized byte[] snapshot() {
    ConfigurationSnapshot.Builder snapshot =
        ConfigurationSnapshot.newBuilder()
            .setRevision(current.revision())
            .putAllDocuments(current.documents());
    changes.forEach(
        change ->
            snapshot.addChanges(
                RevisionMessage.newBuilder()
                    .setRevision(change.toRevision())
                    .putAllPuts(change.puts())
                    .addAllDeletes(change.deletes())));
    snapshot.addAllRequests(requests.all());
    orders.values().forEach(order -> snapshot.addOrders(ControlCodec.encode(order)));
    return snapshot.build().toByteArray();
  }

  @Override
  public synchronized void restore(byte[] snapshot) {
    ConfigurationSnapshot decoded;
    try {
      decoded = ConfigurationSnapshot.parseFrom(snapshot);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException(
          "a configuration snapshot cannot be decoded; run the same release on all control VMs", e);
    }
    current =
        new ConfigurationVersion(decoded.getRevision(), new TreeMap<>(decoded.getDocumentsMap()));
    changes = new ArrayDeque<>();
    decoded
        .getChangesList()
        .forEach(
            change ->
                keep(
                    new ConfigurationDelta(
                        change.getRevision() - 1,
                        change.getRevision(),
                        new TreeMap<>(change.getPutsMap()),
                        new TreeSet<>(change.getDeletesList()))));
    requests = new OperatorRequests();
    decoded.getRequestsList().forEach(requests::keep);
    orders = new LinkedHashMap<>();
    decoded
        .getOrdersList()
        .forEach(order -> orders.put(order.getOrderId(), ControlCodec.decode(order)));
  }
}
