package org.ragwortpick.batch;

import java.util.List;

/** Order in which waiting pieces go into the next call. */
interface PieceOrder {

  /**
   * Sorts pieces.
   *
   * @param waiting the pieces
   * @param slot free slot that takes the first of them
   */
  void sort(List<WaitingPiece> waiting, FreeSlot slot);
}
