package org.ragwortpick.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.ragwortpick.config.DocumentDelta;
import org.ragwortpick.config.DocumentHistory;
import org.ragwortpick.consensus.StateMachine;
import org.ragwortpick.proto.AnswerKind;
import org.ragwortpick.proto.AnswerMessage;
import org.ragwortpick.proto.ChangeCommand;
import org.ragwortpick.proto.ConfigurationCommand;
import org.ragwortpick.proto.ConfigurationSnapshot;
import org.ragwortpick.proto.RequestMessage;
import org.ragwortpick.proto.RevisionMessage;

/**
 * Replicated state machine of the group {@code config}: documents of the current revision, answers
 * to operator requests, revision of the last change of each document and open engine orders.
 */
public final class ConfigurationStateMachine implements StateMachine {

  /** Name of the consensus group. */
  public static final String GROUP = "config";

  private static final byte[] NO_RESULT = new byte[0];

  private DocumentHistory history = new DocumentHistory(0);
  private OperatorRequests requests = new OperatorRequests();
  private Map<String, EngineOrder> openOrders = new LinkedHashMap<>();
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
        return applyChange(decoded.getChange()).toByteArray();
      case ORDER:
        EngineOrder order = ControlCodec.decode(decoded.getOrder().getOrder());
        openOrders.values().removeIf(order::supersedes);
        openOrders.put(order.orderId(), order);
        return NO_RESULT;
      case CLOSE_ORDER:
        openOrders.remove(decoded.getCloseOrder().getOrderId());
        return NO_RESULT;
      default:
        throw new IllegalArgumentException(
            "a configuration command has an unknown operation;"
                + " run the same release on all control VMs");
    }
  }

  private AnswerMessage applyChange(ChangeCommand change) {
    Optional<RequestMessage> answered = requests.find(change.getRequestId());
    if (answered.isPresent()) {
      return answered.get().getRequestDigest().equals(change.getRequestDigest())
          ? answered.get().getAnswer()
          : answer(AnswerKind.ANSWER_KIND_REQUEST_ID_REUSED);
    }
    boolean isCurrent = change.getBaseRevision() == current.revision();
    boolean mustRecompute = isCurrent ? change.getUnevaluated() : change.getLeaderBase();
    if (mustRecompute) {
      // Not stored as the answer to the request, because the leader recomputes the change.
      return answer(AnswerKind.ANSWER_KIND_CONFLICT);
    }
    AnswerMessage answer = answer(AnswerKind.ANSWER_KIND_CONFLICT);
    if (isCurrent) {
      if (!change.getRefused()) {
        applyDelta(
            new DocumentDelta(
                current.revision(),
                current.revision() + 1,
                new TreeMap<>(change.getPutsMap()),
                new TreeSet<>(change.getDeletesList())));
      }
      answer = change.getAnswer().toBuilder().setRevision(current.revision()).build();
    }
    if (!change.getRequestId().isEmpty()) {
      requests.add(
          OperatorRequests.entry(change.getRequestId(), change.getRequestDigest(), answer));
    }
    return answer;
  }

  private AnswerMessage answer(AnswerKind kind) {
    return AnswerMessage.newBuilder().setKind(kind).setRevision(current.revision()).build();
  }

  /** Applies a delta; an empty one keeps the revision, so that VMs have nothing to fetch. */
  private void applyDelta(DocumentDelta delta) {
    if (delta.isEmpty()) {
      return;
    }
    SortedMap<String, String> changed = new TreeMap<>(current.documents());
    delta.applyTo(changed);
    current = new ConfigurationVersion(delta.toRevision(), changed);
    history.record(delta.toRevision(), delta.puts().keySet(), delta.deletes());
  }

  /**
   * Returns the configuration that the local replica has applied.
   *
   * @return the configuration; on a replica that does not lead it may lag behind the leader's
   */
  public ConfigurationVersion current() {
    return current;
  }

  /**
   * Tells whether the answer to an operator request is stored.
   *
   * @param requestId identity of the request
   * @return true if a resend gets the first answer
   */
  public synchronized boolean hasAnswered(String requestId) {
    return requests.find(requestId).isPresent();
  }

  /**
   * Computes the change since a revision.
   *
   * @param fromRevision revision that the receiver has
   * @return the change to the current revision; empty if the history does not reach back to that
   *     revision or it is unknown, in which case {@link #fullDelta} is needed
   */
  public synchronized Optional<DocumentDelta> deltaSince(long fromRevision) {
    return history.since(fromRevision, current.revision(), current.documents());
  }

  /**
   * Returns all documents.
   *
   * @return the change from no documents to the current revision
   */
  public synchronized DocumentDelta fullDelta() {
    return new DocumentDelta(0, current.revision(), current.documents(), new TreeSet<>());
  }

  /**
   * Lists the open orders.
   *
   * @return the orders, oldest first
   */
  public synchronized List<EngineOrder> openOrders() {
    return List.copyOf(openOrders.values());
  }

  @Override
  public synchronized byte[] snapshot() {
    ConfigurationSnapshot.Builder snapshot =
        ConfigurationSnapshot.newBuilder()
            .setRevision(current.revision())
            .putAllDocuments(current.documents())
            .setHistoryFrom(history.completeFromRevision())
            .putAllChangedAt(history.changedAt())
            .putAllRemovedAt(history.removedAt());
    snapshot.addAllRequests(requests.entries());
    openOrders.values().forEach(order -> snapshot.addOrders(ControlCodec.encode(order)));
    return snapshot.build().toByteArray();
  }

  private static DocumentHistory decodeHistory(ConfigurationSnapshot snapshot) {
    List<RevisionMessage> changes = snapshot.getChangesList();
    boolean ofEarlierRelease = snapshot.getChangedAtCount() == 0 && !changes.isEmpty();
    if (ofEarlierRelease) {
      DocumentHistory decoded = new DocumentHistory(changes.get(0).getRevision() - 1);
      changes.forEach(
          change ->
              decoded.record(
                  change.getRevision(), change.getPutsMap().keySet(), change.getDeletesList()));
      return decoded;
    }
    SortedMap<Long, List<String>> changed = keysByRevision(snapshot.getChangedAtMap());
    SortedMap<Long, List<String>> removed = keysByRevision(snapshot.getRemovedAtMap());
    DocumentHistory decoded = new DocumentHistory(snapshot.getHistoryFrom());
    changed.forEach((revision, keys) -> decoded.record(revision, keys, List.of()));
    removed.forEach((revision, keys) -> decoded.record(revision, List.of(), keys));
    return decoded;
  }

  private static SortedMap<Long, List<String>> keysByRevision(Map<String, Long> revisions) {
    SortedMap<Long, List<String>> keys = new TreeMap<>();
    revisions.forEach(
        (key, revision) -> keys.computeIfAbsent(revision, at -> new ArrayList<>()).add(key));
    return keys;
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
    history = decodeHistory(decoded);
    requests = new OperatorRequests();
    decoded.getRequestsList().forEach(requests::add);
    openOrders = new LinkedHashMap<>();
    decoded
        .getOrdersList()
        .forEach(order -> openOrders.put(order.getOrderId(), ControlCodec.decode(order)));
  }
}
