package org.ragwortpick.settings;

import org.ragwortpick.common.HostPort;

/**
 * Another VM of the system, as listed in the settings.
 *
 * @param vm name of the VM
 * @param dataCentre data centre of the VM
 * @param peerAddress address for messages between VMs
 */
public record PeerVm(String vm, String dataCentre, HostPort peerAddress) {}
