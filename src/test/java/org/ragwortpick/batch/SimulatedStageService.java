package org.ragwortpick.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.ragwortpick.entry.VirtualTime;
import org.ragwortpick.routing.BatchProfile;
import org.ragwortpick.sync.Upstream;

/**
 * Upstreams of a stage service in simulated time, each with one slot and limited result capacity.
 */
final class SimulatedStageService implements BatchTransport {

  /** Slowdown of an upstream that does not respond. */
  static final double GONE = Double.MAX_VALUE;

  private static final long ROUND_TRIP_MS = 2;

  private final VirtualTime time;
  private final BatchProfile profile;
  private final long resultBytes;
  private final Map<String, Long> freeAtMs = new HashMap<>();
  private final Map<String, Long> usedBytes = new HashMap<>();
  private final Map<String, String> producers = new HashMap<>();
  private final Map<String, Double> slowdowns = new HashMap<>();
  private final Map<String, Double> workMsByRequest = new HashMap<>();
  private int nextHandle;

  SimulatedStageService(VirtualTime time, BatchProfile profile, long resultBytes) {
    this.time = time;
    this.profile = profile;
    this.resultBytes = resultBytes;
  }

  @Override
  public void run(
      Upstream upstream, List<PieceCall> pieces, long timeoutMs, Consumer<BatchOutcome> whenDone) {
    String id = upstream.id();
    long nowMs = time.clock().millis();
    long startMs = Math.max(nowMs + ROUND_TRIP_MS / 2, freeAtMs.getOrDefault(id, 0L));
    double slowdown = slowdowns.getOrDefault(id, 1.0);
    if (slowdown == GONE) {
      time.schedule(timeoutMs, () -> whenDone.accept(new BatchOutcome.Lost()));
      return;
    }
    double workMs = slowdown * StageTimes.callMs(profile, pieces.size());
    pieces.forEach(
        piece -> workMsByRequest.merge(piece.requestId(), workMs / pieces.size(), Double::sum));
    freeAtMs.put(id, startMs + (long) workMs);
    time.schedule(
        startMs - nowMs,
        () -> {
          List<PieceResult> results = new ArrayList<>();
          pieces.forEach(piece -> results.add(produce(id)));
          time.schedule(
              (long) workMs + ROUND_TRIP_MS / 2,
              () -> whenDone.accept(new BatchOutcome.Answered(results)));
        });
  }

  private PieceResult produce(String id) {
    long used = usedBytes.getOrDefault(id, 0L);
    if (used + resultBytes > profile.resultRoomBytes()) {
      return new PieceResult.NotProduced(PieceResult.Cause.NO_ROOM);
    }
    usedBytes.put(id, used + resultBytes);
    String handle = "h" + nextHandle++;
    producers.put(handle, id);
    return new PieceResult.Produced(handle);
  }

  @Override
  public void release(Upstream upstream, List<String> handles, Runnable whenReleased) {
    time.schedule(
        ROUND_TRIP_MS,
        () -> {
          for (String handle : handles) {
            usedBytes.merge(upstream.id(), -resultBytes, Long::sum);
          }
          whenReleased.run();
        });
  }

  /** Sets the duration of the calls of an upstream as a multiple of the stated one. */
  void setSlowdown(String upstreamId, double factor) {
    slowdowns.put(upstreamId, factor);
  }

  /** Returns the upstream time that was spent on the pieces of a request. */
  double workMsOf(String requestId) {
    return workMsByRequest.getOrDefault(requestId, 0.0);
  }

  /** Returns the id of the upstream that produced a result. */
  String producerOf(String handle) {
    return producers.get(handle);
  }
}
