package org.ragwortpick.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Queue of the pieces of one stage service. Pieces that can still meet the target latency of their
 * request come before those that cannot, then pieces are ordered by priority, then by target time.
 *
 * <p>The order is made for a burst on a stage service whose cost per call exceeds the cost per
 * piece: work that has already missed its target must not delay requests that can still meet
 * theirs.
 */
final class PieceQueue {

  /**
   * Handicap of a piece, in the order by target time, at upstreams outside the data centre of its
   * inputs.
   */
  private static final long OTHER_DATA_CENTRE_HANDICAP_MS = 400;

  private final List<WaitingPiece> waiting = new ArrayList<>();

  /**
   * Adds pieces.
   *
   * @param pieces the pieces
   */
  void add(List<WaitingPiece> pieces) {
    waiting.addAll(pieces);
  }

  /**
   * Returns the number of queued pieces.
   *
   * @return number of pieces, including those of ended submissions
   */
  int size() {
    return waiting.size();
  }

  /**
   * Counts the pieces that go before a new piece of a priority.
   *
   * @param priority priority, 0 is the most urgent
   * @return number of pieces of this priority and of more urgent ones
   */
  long countAhead(int priority) {
    return waiting.stream()
        .filter(piece -> !piece.submission().isEnded())
        .filter(piece -> piece.submission().work().priority() <= priority)
        .count();
  }

  /**
   * Removes the pieces that belong to ended submissions or cannot be produced before their
   * deadline.
   *
   * @param nowMs monotonic time in milliseconds
   * @param minCallMs minimum duration of a call in milliseconds
   * @return submissions that cannot meet their deadline, including ended ones
   */
  List<Submission> removeLate(long nowMs, long minCallMs) {
    List<Submission> late = new ArrayList<>();
    for (Iterator<WaitingPiece> i = waiting.iterator(); i.hasNext(); ) {
      Submission submission = i.next().submission();
      boolean isLate = submission.deadlineAtMs() - nowMs < minCallMs;
      if (submission.isEnded() || isLate) {
        i.remove();
        if (isLate && !late.contains(submission)) {
          late.add(submission);
        }
      }
    }
    return late;
  }

  /**
   * Lists the submissions whose target time has passed while the pieces before them fill more than
   * one call.
   *
   * @param targetAtMs monotonic time in milliseconds; submissions with an earlier target time are
   *     overdue
   * @param maxPieces maximum number of pieces per call
   * @return overdue submissions
   */
  List<Submission> findOverdue(long targetAtMs, int maxPieces) {
    long onTime =
        waiting.stream().filter(piece -> piece.submission().targetAtMs() >= targetAtMs).count();
    if (onTime <= maxPieces) {
      return List.of();
    }
    return waiting.stream()
        .map(WaitingPiece::submission)
        .filter(submission -> !submission.isEnded() && submission.targetAtMs() < targetAtMs)
        .distinct()
        .toList();
  }

  /**
   * Removes the pieces of the submissions that meet a condition.
   *
   * @param condition selects among the submissions that have not ended
   * @return submissions whose pieces were removed
   */
  List<Submission> removeIf(Predicate<Submission> condition) {
    List<Submission> removed =
        waiting.stream()
            .map(WaitingPiece::submission)
            .filter(submission -> !submission.isEnded())
            .distinct()
            .filter(condition)
            .toList();
    waiting.removeIf(piece -> removed.contains(piece.submission()));
    return removed;
  }

  private static boolean prefers(WaitingPiece piece, String dataCentre) {
    String preferred = piece.submission().work().dataCentre();
    return preferred.isEmpty() || preferred.equals(dataCentre);
  }

  /**
   * Returns whether a queued piece prefers a data centre.
   *
   * @param dataCentre the data centre
   * @return whether a queued piece prefers it or has no preference
   */
  boolean anyPrefers(String dataCentre) {
    return waiting.stream().anyMatch(piece -> prefers(piece, dataCentre));
  }

  /**
   * Removes the next batch for one upstream. Pieces that prefer another data centre stay queued if
   * an upstream there is free soon, so that their inputs do not cross data centres.
   *
   * @param slot free slot of the upstream
   * @param freeAtMs gives the monotonic time in milliseconds at which an upstream of a data centre
   *     is free; {@code Long.MAX_VALUE} if it has no upstream
   * @return pieces in order; empty if none fits
   */
  List<WaitingPiece> takeBatch(FreeSlot slot, ToLongFunction<String> freeAtMs) {
    waiting.sort(orderAt(slot));
    Map<Submission, List<WaitingPiece>> piecesBySubmission = new LinkedHashMap<>();
    Map<String, Integer> stayingByDataCentre = new HashMap<>();
    for (WaitingPiece piece : waiting) {
      String preferred = piece.submission().work().dataCentre();
      boolean stays =
          !prefers(piece, slot.dataCentre())
              && shouldStay(piece, slot, freeAtMs.applyAsLong(preferred))
              && stayingByDataCentre.merge(preferred, 1, Integer::sum) <= slot.maxPieces();
      if (!stays) {
        piecesBySubmission
            .computeIfAbsent(piece.submission(), submission -> new ArrayList<>())
            .add(piece);
      }
    }
    List<WaitingPiece> batch =
        takeWholeSubmissions(piecesBySubmission, slot.maxPieces(), slot.freeResultBytes());
    if (batch.isEmpty() && !piecesBySubmission.isEmpty()) {
      batch =
          takePartOfSubmission(
              piecesBySubmission.entrySet().iterator().next(),
              slot.maxPieces(),
              slot.freeResultBytes());
    }
    Set<WaitingPiece> taken = new HashSet<>(batch);
    waiting.removeIf(taken::contains);
    return batch;
  }

  /**
   * Waiting for the preferred data centre may take at most the time of a full call, and must not
   * make the piece miss its target.
   */
  private static boolean shouldStay(WaitingPiece piece, FreeSlot slot, long freeAtMs) {
    long targetAtMs = piece.submission().targetAtMs();
    boolean isLate = targetAtMs - slot.nowMs() < slot.minCallMs();
    boolean freeSoon = freeAtMs <= slot.nowMs() + slot.maxWaitMs();
    return freeSoon && (isLate || freeAtMs + slot.minCallMs() <= targetAtMs);
  }

  /**
   * Adds a submission only if the results of all its queued pieces fit: a part of the results would
   * occupy capacity without being usable.
   */
  private static List<WaitingPiece> takeWholeSubmissions(
      Map<Submission, List<WaitingPiece>> piecesBySubmission, int maxPieces, long capacityBytes) {
    List<WaitingPiece> batch = new ArrayList<>();
    long freeBytes = capacityBytes;
    for (Map.Entry<Submission, List<WaitingPiece>> group : piecesBySubmission.entrySet()) {
      long bytes = group.getKey().work().resultBytes();
      int wanted = group.getValue().size();
      int taken = Math.min(wanted, maxPieces - batch.size());
      if (taken > 0 && wanted * bytes <= freeBytes) {
        batch.addAll(group.getValue().subList(0, taken));
        freeBytes -= taken * bytes;
      }
    }
    return batch;
  }

  private static List<WaitingPiece> takePartOfSubmission(
      Map.Entry<Submission, List<WaitingPiece>> group, int maxPieces, long capacityBytes) {
    long bytes = Math.max(1, group.getKey().work().resultBytes());
    int wanted = group.getValue().size();
    int taken = (int) Math.max(0, Math.min(Math.min(wanted, maxPieces), capacityBytes / bytes));
    return List.copyOf(group.getValue().subList(0, taken));
  }

  private static Comparator<WaitingPiece> orderAt(FreeSlot slot) {
    return Comparator.comparing(
            (WaitingPiece piece) ->
                piece.submission().targetAtMs() - slot.nowMs() < slot.minCallMs())
        .thenComparingInt(piece -> piece.submission().work().priority())
        .thenComparingLong(
            piece ->
                piece.submission().targetAtMs()
                    + (prefers(piece, slot.dataCentre()) ? 0 : OTHER_DATA_CENTRE_HANDICAP_MS));
  }
}
