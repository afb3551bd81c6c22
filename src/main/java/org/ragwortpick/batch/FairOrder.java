package org.ragwortpick.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragwortpick.policy.admission.ServedShares;
import org.ragwortpick.policy.admission.WorkOwner;

/**
 * Order under overload control. Pieces that can still meet their target come before those that
 * cannot, then pieces are ordered by priority; within a priority, streams that are taken up come
 * first, then work whose request has run earlier stages, and the workspaces take turns by what they
 * were served in the last seconds, each with its earliest target first. One submission of each
 * workspace and of each priority that is below its minimum goes before all.
 */
final class FairOrder implements PieceOrder {

  private static final Comparator<Ranked> ORDER =
      Comparator.comparing((Ranked ranked) -> !ranked.first)
          .thenComparing(ranked -> ranked.late)
          .thenComparingInt(ranked -> ranked.piece.submission().work().priority())
          .thenComparing(ranked -> !ranked.piece.submission().work().resumed())
          .thenComparing(ranked -> ranked.piece.submission().work().isNew())
          .thenComparingDouble(ranked -> ranked.rank)
          .thenComparingLong(ranked -> ranked.orderAtMs);

  private final ServedShares served;

  /**
   * Creates the order.
   *
   * @param served recent work of each workspace and priority
   */
  FairOrder(ServedShares served) {
    this.served = served;
  }

  @Override
  public void sort(List<WaitingPiece> waiting, FreeSlot slot) {
    List<Ranked> pieces = new ArrayList<>(waiting.size());
    waiting.forEach(piece -> pieces.add(new Ranked(piece, slot)));
    pieces.sort(
        Comparator.comparing((Ranked ranked) -> ranked.late)
            .thenComparingLong(ranked -> ranked.orderAtMs));
    rankByTurns(pieces);
    putMinimumsFirst(pieces);
    pieces.sort(ORDER);
    waiting.clear();
    pieces.forEach(ranked -> waiting.add(ranked.piece));
  }

  private void rankByTurns(List<Ranked> pieces) {
    Map<WorkOwner, Double> served = new HashMap<>();
    for (Ranked ranked : pieces) {
      WorkOwner owner = ranked.piece.submission().owner();
      ranked.rank = served.computeIfAbsent(owner, this.served::of);
      served.put(owner, ranked.rank + 1);
    }
  }

  private void putMinimumsFirst(List<Ranked> pieces) {
    Set<String> workspaces = new HashSet<>();
    Set<Integer> priorities = new HashSet<>();
    Set<Submission> first = new HashSet<>();
    for (Ranked ranked : pieces) {
      WorkOwner owner = ranked.piece.submission().owner();
      boolean firstOfWorkspace = workspaces.add(owner.workspace());
      boolean firstOfPriority = priorities.add(owner.priority());
      if (firstOfWorkspace && served.isBelowMinimum(owner.workspace())
          || firstOfPriority && served.isBelowMinimum(owner.priority())) {
        first.add(ranked.piece.submission());
      }
    }
    pieces.forEach(ranked -> ranked.first = first.contains(ranked.piece.submission()));
  }

  /** Piece with the facts that decide on its place. */
  private static final class Ranked {
    private final WaitingPiece piece;
    private final boolean late;
    private final long orderAtMs;
    private double rank;
    private boolean first;

    private Ranked(WaitingPiece piece, FreeSlot slot) {
      this.piece = piece;
      this.late = piece.isLate(slot);
      this.orderAtMs = piece.orderAtMs(slot);
    }
  }
}
