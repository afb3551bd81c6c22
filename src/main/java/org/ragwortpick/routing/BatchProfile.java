package org.ragwortpick.routing;

/**
 * What one upstream of a stage service bears. All values are per upstream.
 *
 * @param runningCalls calls that it works on at once
 * @param waitingCalls calls that may wait
 * @param maxPieces most pieces of one call
 * @param callMs time of a call in milliseconds, without its pieces
 * @param pieceMs approximate time of one piece in milliseconds
 * @param resultRoomBytes memory for results in bytes
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
