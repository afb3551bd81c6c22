package org.ragwortpick.sync;

import org.ragwortpick.common.HostPort;

/**
 * Record of a VM that runs this system.
 *
 * @param vm unique name
 * @param incarnation number that grows with each start of the process
 * @param sequence number that grows with each change of the record
 * @param dataCentre data centre in which it runs
 * @param callerAddress address for callers
 * @param peerAddress address for other VMs
 * @param state life cycle state
 * @param load requests in flight
 */
public record VmRecord(
    String vm,
    long incarnation,
    long sequence,
    String dataCentre,
    HostPort callerAddress,
    HostPort peerAddress,
    VmState state,
    int load) {}
