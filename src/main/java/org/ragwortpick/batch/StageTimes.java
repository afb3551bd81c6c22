package org.ragwortpick.batch;

import org.ragwortpick.routing.BatchProfile;

/** Durations of stage calls according to the profile of their service. */
public final class StageTimes {

  private StageTimes() {}

  /**
   * Returns the duration of one call.
   *
   * @param profile batch profile of the service
   * @param pieces number of pieces
   * @return time in milliseconds
   */
  public static double callMs(BatchProfile profile, int pieces) {
    return profile.callMs() + profile.pieceMs() * Math.min(pieces, profile.maxPieces());
  }

  /**
   * Returns the duration of a full call divided by its number of pieces.
   *
   * @param profile batch profile of the service
   * @return time per piece at one upstream in milliseconds
   */
  public static double fullBatchPieceMs(BatchProfile profile) {
    return callMs(profile, profile.maxPieces()) / Math.max(1, profile.maxPieces());
  }
}
