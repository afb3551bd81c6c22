package org.ragwortpick.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;

/**
 * Order in which pieces are worked on: those that can still serve an answer within its target
 * latency come before those that cannot, then the rank of the request decides, then the time until
 * which the piece is needed.
 *
 * <p>Load answered: a burst on a stage service whose calls cost more than their pieces. Work that
 * is late already must not make other requests late.
 */
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
   * Returns how many pieces wait.
   *
   * @return number of pieces, including those that nobody needs any more
   */
  int size() {
    return waiting.size();
  }

  /**
   * Returns how many pieces go before a new one of a rank.
   *
   * @param priority rank, 0 first
   * @return number of pieces of this rank and of those before it
   */
  long ahead(int priority) {
    return waiting.stream()
        .filter(piece -> !piece.submission().isEnded())
        .filter(piece -> piece.submission().work().priority() <= priority)
        .count();
  }

  /**
   * Removes the pieces that are not needed, or cannot be done before their deadline.
   *
   * @param nowMs monotonic time in milliseconds
   * @param workMs shortest time in milliseconds in which a piece can be done
   * @return submissions that end because a piece of them is late
   */
  List<Submission> removeLate(long nowMs, long workMs) {
    List<Submission> late = new ArrayList<>();
    for (Iterator<WaitingPiece> i = waiting.iterator(); i.hasNext(); ) {
      Submission submission = i.next().submission();
      boolean isLate = submission.deadlineAtMs() - nowMs < workMs;
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
   * Removes all pieces.
   *
   * @return submissions of which a piece waited and is needed
   */
  List<Submission> removeAll() {
    List<Submission> removed =
        waiting.stream()
            .map(WaitingPiece::submission)
            .filter(submission -> !submission.isEnded())
            .distinct()
            .toList();
    waiting.clear();
    return removed;
  }

  /**
   * Takes the next batch for one upstream.
   *
   * @param maxPieces most pieces
   * @param room room of the upstream for results in bytes
   * @param nowMs monotonic time in milliseconds
   * @param workMs shortest time in milliseconds in which a piece can be done
   * @return pieces in order; empty if none fits
   */
  List<WaitingPiece> take(int maxPieces, long room, long nowMs, long workMs) {
    waiting.sort(order(nowMs, workMs));
    List<WaitingPiece> batch = new ArrayList<>();
    long left = room;
    for (Iterator<WaitingPiece> i = waiting.iterator(); i.hasNext() && batch.size() < maxPieces; ) {
      WaitingPiece piece = i.next();
      long bytes = piece.submission().work().resultBytes();
      if (bytes <= left) {
        left -= bytes;
        batch.add(piece);
        i.remove();
      }
    }
    return batch;
  }

  private static Comparator<WaitingPiece> order(long nowMs, long workMs) {
    return Comparator.comparing(
            (WaitingPiece piece) -> piece.submission().targetAtMs() - nowMs < workMs)
        .thenComparingInt(piece -> piece.submission().work().priority())
        .thenComparingLong(piece -> piece.submission().targetAtMs());
  }
}
