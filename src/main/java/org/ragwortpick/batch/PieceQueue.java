package org.ragwortpick.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.ragwortpick.policy.admission.ServedShares;
import org.ragwortpick.policy.admission.WorkOwner;

/** Queue of the pieces of one stage service, from which a {@link PieceOrder} fills the calls. */
final class PieceQueue {

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
    return count(queued -> queued.priority() <= priority);
  }

  /**
   * Counts the pieces that go before the pieces of work that arrives.
   *
   * @param work the work
   * @return number of pieces; those of new requests go behind streams of their priority that are
   *     taken up
   */
  long countAhead(StageWork work) {
    return count(queued -> goesAhead(queued, work));
  }

  private long count(Predicate<StageWork> condition) {
    return waiting.stream()
        .map(WaitingPiece::submission)
        .filter(submission -> !submission.isEnded())
        .map(Submission::work)
        .filter(condition)
        .count();
  }

  private static boolean goesAhead(StageWork queued, StageWork work) {
    return queued.priority() < work.priority()
        || queued.priority() == work.priority() && (queued.resumed() || !work.resumed());
  }

  /**
   * Counts the queued pieces of each priority. Those that have missed their target count too: new
   * work that is admitted while they wait would keep them waiting until their deadline.
   *
   * @return number of pieces by priority
   */
  Map<Integer, Integer> countByPriority() {
    Map<Integer, Integer> counts = new HashMap<>();
    waiting.stream()
        .map(WaitingPiece::submission)
        .filter(submission -> !submission.isEnded())
        .forEach(submission -> counts.merge(submission.work().priority(), 1, Integer::sum));
    return counts;
  }

  /**
   * Counts the pieces that go before the pieces of a submission in the order of fair shares.
   *
   * @param asking the submission, queued or not
   * @param served recent work of each owner
   * @param onTimeFromMs monotonic time in milliseconds; pieces with earlier targets and another
   *     priority go behind
   * @return number of pieces
   */
  long countAhead(Submission asking, ServedShares served, long onTimeFromMs) {
    StageWork work = asking.work();
    long ahead = 0;
    long own = 0;
    Map<WorkOwner, Integer> others = new HashMap<>();
    for (WaitingPiece piece : waiting) {
      Submission submission = piece.submission();
      StageWork queued = submission.work();
      boolean counts =
          !submission.isEnded()
              && (submission.targetAtMs() >= onTimeFromMs || queued.priority() == work.priority())
              && goesAhead(queued, work);
      if (!counts) {
        continue;
      }
      boolean earlier = submission != asking && submission.targetAtMs() <= asking.targetAtMs();
      boolean goesBeforeTurns =
          queued.priority() < work.priority()
              || queued.resumed() && !work.resumed()
              || !queued.isNew() && work.isNew();
      if (goesBeforeTurns) {
        ahead++;
      } else if (queued.isNew() == work.isNew() && submission.owner().equals(asking.owner())) {
        own += earlier ? 1 : 0;
      } else if (queued.isNew() == work.isNew()) {
        others.merge(submission.owner(), 1, Integer::sum);
      }
    }
    double rank = served.of(asking.owner()) + own;
    for (Map.Entry<WorkOwner, Integer> other : others.entrySet()) {
      double turns = rank - served.of(other.getKey());
      ahead += (long) Math.max(0, Math.min(other.getValue(), turns));
    }
    return ahead + own;
  }

  /**
   * Lists the submissions that meet a condition.
   *
   * @param condition selects among the submissions that have not ended
   * @return the submissions, which stay queued
   */
  List<Submission> find(Predicate<Submission> condition) {
    return waiting.stream()
        .map(WaitingPiece::submission)
        .filter(submission -> !submission.isEnded())
        .distinct()
        .filter(condition)
        .toList();
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
   * one call. Work with a known path is not listed: it was admitted by that path, waits behind the
   * rest and is served when the queue is short again.
   *
   * @param targetAtMs monotonic time in milliseconds; submissions with an earlier target time are
   *     overdue
   * @param maxPieces maximum number of pieces per call
   * @param keepsKnownPaths whether work with a known path is not listed
   * @return overdue submissions
   */
  List<Submission> findOverdue(long targetAtMs, int maxPieces, boolean keepsKnownPaths) {
    long onTime =
        waiting.stream().filter(piece -> piece.submission().targetAtMs() >= targetAtMs).count();
    if (onTime <= maxPieces) {
      return List.of();
    }
    return waiting.stream()
        .map(WaitingPiece::submission)
        .filter(submission -> !submission.isEnded() && submission.targetAtMs() < targetAtMs)
        .filter(submission -> !keepsKnownPaths || submission.work().path().isEmpty())
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
    List<Submission> removed = find(condition);
    waiting.removeIf(piece -> removed.contains(piece.submission()));
    return removed;
  }

  /**
   * Returns whether a queued piece prefers a data centre.
   *
   * @param dataCentre the data centre
   * @return whether a queued piece prefers it or has no preference
   */
  boolean anyPrefers(String dataCentre) {
    return waiting.stream().anyMatch(piece -> piece.prefers(dataCentre));
  }

  /**
   * Removes the next batch for one upstream. Pieces that prefer another data centre stay queued if
   * an upstream there is free soon, so that their inputs do not cross data centres. Pieces that
   * miss their target only because this upstream is slow stay for a faster one.
   *
   * @param slot free slot of the upstream
   * @param order order of the pieces
   * @param freeAtMs gives the monotonic time in milliseconds at which an upstream of a data centre
   *     is free; {@code Long.MAX_VALUE} if it has no upstream
   * @return pieces in order; empty if none fits
   */
  List<WaitingPiece> takeBatch(FreeSlot slot, PieceOrder order, ToLongFunction<String> freeAtMs) {
    order.sort(waiting, slot);
    Map<Submission, List<WaitingPiece>> piecesBySubmission = new LinkedHashMap<>();
    Map<String, Integer> stayingByDataCentre = new HashMap<>();
    int stayingForFaster = 0;
    for (WaitingPiece piece : waiting) {
      String preferred = piece.submission().work().dataCentre();
      boolean stays =
          !piece.prefers(slot.dataCentre())
              && shouldStay(piece, slot, freeAtMs.applyAsLong(preferred))
              && stayingByDataCentre.merge(preferred, 1, Integer::sum) <= slot.maxPieces();
      if (!stays
          && stayingForFaster < slot.faster().pieces()
          && slot.faster().areBetterFor(piece, slot.nowMs())) {
        stayingForFaster++;
        stays = true;
      }
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
}
