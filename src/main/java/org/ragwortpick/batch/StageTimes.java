package org.ragwortpick.batch;

import org.ragwortpick.routing.BatchProfile;

/** Times of stage calls by the profile of their service. */
public final class StageTimes {

  private StageTimes() {}

  /**
   * Returns the time of one call.
   *
   * @param profile limits of the service
   * @param pieces number of pieces
   * @return time in milliseconds
   */
  public static double callMs(BatchProfile profile, int pieces) {
    return profile.callMs() + profile.pieceMs() * Math.min(pieces, profile.maxPieces());
  }

  /**
   * Returns the time per piece in full batches.
   *
   * @param profile limits of the service
   * @return time in milliseconds of one upstream for one piece
   */
  public static double fullBatchPieceMs(BatchProfile profile) {
    return callMs(profile, profile.maxPieces()) / Math.max(1, profile.maxPieces());
  }
}
