package org.ragwortpick.sync.allowance;

import org.ragwortpick.sync.directory.Stamp;

/**
 * Demand of one VM for a share of the requests that an upstream can run in cold start, with a
 * report on the newest grant that the VM has accepted.
 *
 * @param holder name of the VM
 * @param holderIncarnation incarnation of the VM
 * @param sentAtMs time of sending by the clock of the holder in milliseconds
 * @param upstream identity of the upstream
 * @param upstreamIncarnation incarnation of the upstream
 * @param wanted requests that the VM would run at once; 0 if it only reports
 * @param accepted stamp of the newest grant that the VM has accepted, for this incarnation of the
 *     upstream
 * @param inFlight requests of the VM in flight at the upstream
 * @param keeps requests to which the VM limits itself under that grant from now on
 * @param warmFlag stamp of the newest warm flag of the upstream that the VM has received
 * @param suspected whether the VM observed the upstream behaving as in cold start
 */
public record Demand(
    String holder,
    long holderIncarnation,
    long sentAtMs,
    String upstream,
    long upstreamIncarnation,
    int wanted,
    Stamp accepted,
    int inFlight,
    int keeps,
    Stamp warmFlag,
    boolean suspected) {}
