package org.ragwortpick.policy.limit;

import org.ragwortpick.sync.Upstream;

/**
 * What one VM knows about the load of an upstream.
 *
 * @param upstream the upstream
 * @param inFlight requests of the local VM in flight there
 * @param sentSinceReport requests that the local VM sent there since the last load report
 * @param othersAtReport requests of other VMs that ran or waited there at the last load report
 * @param reportAgeMs age of that report in milliseconds; {@link Long#MAX_VALUE} without one
 * @param meanDurationMs average duration of requests there in milliseconds; 0 if unknown
 * @param speed speed relative to the usual one
 * @param momentarySpeed speed at this moment relative to the usual one of that upstream
 * @param additionalLoad load that recent failures add
 * @param isAvailable whether it may be selected
 */
record ObservedUpstream(
    Upstream upstream,
    int inFlight,
    int sentSinceReport,
    int othersAtReport,
    long reportAgeMs,
    double meanDurationMs,
    double speed,
    double momentarySpeed,
    double additionalLoad,
    boolean isAvailable) {}
