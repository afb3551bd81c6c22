package org.ragwortpick.sync.allowance;

import org.ragwortpick.sync.directory.Stamp;

/**
 * Lease of one VM on a share of the requests that an upstream can run in cold start.
 *
 * @param holder name of the VM
 * @param holderIncarnation incarnation of the VM
 * @param demandSentAtMs start of the lease in milliseconds by the clock of the holder
 * @param upstream identity of the upstream
 * @param upstreamIncarnation incarnation of the upstream
 * @param amount requests that the VM may run at once
 * @param stamp order of the grant; grants and warm flags of one leader share a sequence
 */
public record Grant(
    String holder,
    long holderIncarnation,
    long demandSentAtMs,
    String upstream,
    long upstreamIncarnation,
    int amount,
    Stamp stamp) {}
