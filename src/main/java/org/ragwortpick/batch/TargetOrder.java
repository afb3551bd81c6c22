package org.ragwortpick.batch;

import java.util.Comparator;
import java.util.List;

/**
 * Pieces that can still meet the target latency of their request come before those that cannot,
 * then pieces are ordered by priority, then by target time. Within a priority, streams that are
 * taken up come first: they have less time left than new requests, and what was spent on them is
 * lost if they do not go on.
 *
 * <p>The order is made for a burst on a stage service whose cost per call exceeds the cost per
 * piece: work that has already missed its target must not delay requests that can still meet
 * theirs.
 */
final class TargetOrder implements PieceOrder {

  @Override
  public void sort(List<WaitingPiece> waiting, FreeSlot slot) {
    waiting.sort(
        Comparator.comparing((WaitingPiece piece) -> piece.isLate(slot))
            .thenComparingInt(piece -> piece.submission().work().priority())
            .thenComparing(piece -> !piece.submission().work().resumed())
            .thenComparingLong(piece -> piece.orderAtMs(slot)));
  }
}
