package org.ragwortpick.batch;

/**
 * Free slot of an upstream, with the limits of the call that may use it.
 *
 * @param dataCentre data centre of the upstream
 * @param maxPieces maximum number of pieces per call
 * @param freeResultBytes free result capacity of the upstream in bytes
 * @param nowMs monotonic time in milliseconds
 * @param minCallMs minimum duration of a call in milliseconds
 * @param maxWaitMs maximum time in milliseconds that a piece waits for an upstream in its preferred
 *     data centre
 * @param faster upstreams that are faster than this one; none without overload control
 */
record FreeSlot(
    String dataCentre,
    int maxPieces,
    long freeResultBytes,
    long nowMs,
    long minCallMs,
    long maxWaitMs,
    FasterUpstreams faster) {}
