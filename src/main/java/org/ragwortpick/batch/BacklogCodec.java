package org.ragwortpick.batch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.ragwortpick.policy.admission.PathStage;
import org.ragwortpick.policy.admission.RequestPath;
import org.ragwortpick.policy.admission.StageBacklog;

/** Converts paths of requests and backlogs to and from the gRPC messages of the collector. */
final class BacklogCodec {

  private static final double MS_PER_SECOND = 1_000.0;

  private BacklogCodec() {}

  /**
   * Encodes a path.
   *
   * @param path the path
   * @return the message
   */
  static org.ragwortpick.proto.RequestPath encode(RequestPath path) {
    return org.ragwortpick.proto.RequestPath.newBuilder()
        .setWorkspace(path.workspace())
        .setDecideWithinMs((int) path.decideWithinMs())
        .setObjectiveRemainingMs(path.objectiveRemainingMs())
        .setResponseMs((int) path.responseMs())
        .addAllFollowing(path.following().stream().map(BacklogCodec::encode).toList())
        .build();
  }

  private static org.ragwortpick.proto.PathStage encode(PathStage stage) {
    return org.ragwortpick.proto.PathStage.newBuilder()
        .setStage(stage.stage())
        .setService(stage.service())
        .setPieceCount(stage.pieceCount())
        .setCallMs((int) stage.callMs())
        .addAllAfter(stage.after())
        .build();
  }

  /**
   * Decodes a path.
   *
   * @param path the message
   * @return the path
   */
  static RequestPath decode(org.ragwortpick.proto.RequestPath path) {
    return new RequestPath(
        path.getWorkspace(),
        path.getDecideWithinMs(),
        path.getObjectiveRemainingMs(),
        path.getResponseMs(),
        path.getFollowingList().stream()
            .map(
                stage ->
                    new PathStage(
                        stage.getStage(),
                        stage.getService(),
                        stage.getPieceCount(),
                        stage.getCallMs(),
                        stage.getAfterList()))
            .toList());
  }

  /**
   * Encodes backlogs.
   *
   * @param backlogs the backlogs
   * @param nowMs monotonic time in milliseconds
   * @return the messages
   */
  static List<org.ragwortpick.proto.StageBacklog> encode(List<StageBacklog> backlogs, long nowMs) {
    return backlogs.stream().map(backlog -> encode(backlog, nowMs)).toList();
  }

  private static org.ragwortpick.proto.StageBacklog encode(StageBacklog backlog, long nowMs) {
    Set<Integer> priorities = new TreeSet<>(backlog.queuedPieces().keySet());
    priorities.addAll(backlog.servedPerMs().keySet());
    return org.ragwortpick.proto.StageBacklog.newBuilder()
        .setService(backlog.service())
        .setAgeMs((int) Math.max(0, nowMs - backlog.measuredAtMs()))
        .setPiecesPerSecond((float) (backlog.piecesPerMs() * MS_PER_SECOND))
        .setCallMs((int) backlog.callMs())
        .addAllPriorities(priorities)
        .addAllPieceCounts(
            priorities.stream()
                .map(priority -> backlog.queuedPieces().getOrDefault(priority, 0))
                .toList())
        .addAllServedPerSecond(
            priorities.stream()
                .map(priority -> backlog.servedPerMs().getOrDefault(priority, 0.0))
                .map(perMs -> (float) (perMs * MS_PER_SECOND))
                .toList())
        .build();
  }

  /**
   * Decodes backlogs. One whose capacity is not a finite number, or whose lists do not match, is
   * left out, since a wait computed from it would refuse or admit everything.
   *
   * @param messages the messages
   * @param nowMs monotonic time in milliseconds
   * @return the backlogs
   */
  static List<StageBacklog> decode(List<org.ragwortpick.proto.StageBacklog> messages, long nowMs) {
    return messages.stream()
        .filter(message -> Float.isFinite(message.getPiecesPerSecond()))
        .filter(message -> message.getPiecesPerSecond() >= 0 && message.getAgeMs() >= 0)
        .filter(message -> message.getPrioritiesCount() == message.getPieceCountsCount())
        .filter(message -> message.getPrioritiesCount() == message.getServedPerSecondCount())
        .filter(message -> message.getServedPerSecondList().stream().allMatch(Float::isFinite))
        .map(message -> decode(message, nowMs))
        .toList();
  }

  private static StageBacklog decode(org.ragwortpick.proto.StageBacklog message, long nowMs) {
    Map<Integer, Integer> queued = new HashMap<>();
    Map<Integer, Double> served = new HashMap<>();
    for (int i = 0; i < message.getPrioritiesCount(); i++) {
      queued.put(message.getPriorities(i), message.getPieceCounts(i));
      served.put(message.getPriorities(i), message.getServedPerSecond(i) / MS_PER_SECOND);
    }
    return new StageBacklog(
        message.getService(),
        nowMs - message.getAgeMs(),
        message.getPiecesPerSecond() / MS_PER_SECOND,
        message.getCallMs(),
        queued,
        served);
  }
}
