package org.ragwortpick.routing;

/**
 * Capacity and timing of one upstream of a stage service.
 *
 * @param runningCalls number of calls that run at once
 * @param waitingCalls number of calls that may wait
 * @param maxPieces maximum number of pieces of one call
 * @param callMs fixed time of a call in milliseconds, without its pieces
 * @param pieceMs approximate time of one piece in milliseconds
 * @param resultRoomBytes result capacity in bytes
 * @param resultLifetimeMs time in milliseconds after which a result expires
 */
public record BatchProfile(
    int runningCalls,
    int waitingCalls,
    int maxPieces,
    double callMs,
    double pieceMs,
    long resultRoomBytes,
    long resultLifetimeMs) {}
