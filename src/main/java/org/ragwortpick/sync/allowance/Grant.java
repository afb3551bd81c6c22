package org.ragwortpick.sync.allowance;

import org.ragwortpick.sync.directory.Stamp;

/**
 * Lease of one VM on a share of the requests that an upstream bears in cold start.
 *
 * @param holder name of the VM
 * @param holderIncarnation incarnation of the VM
 * @param demandSentAtMs time by the clock of the holder from which the lease counts
 * @param upstream identity of the upstream
 * @param upstreamIncarnation incarnation of the upstream
 * @param amount requests that the VM may run at once
 * @param stamp order of the grant; grants and warm flags of one leader share the numbers
 */
public record Grant(
    String holder,
    long holderIncarnation,
    long demandSentAtMs,
    String upstream,
    long upstreamIncarnation,
    int amount,
    Stamp stamp) {}
