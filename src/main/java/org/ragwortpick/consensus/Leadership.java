package org.ragwortpick.consensus;

import java.util.Optional;

/**
 * Leadership of a group as known to the local replica.
 *
 * @param leader whether the local replica is the leader and may serve
 * @param term current term
 * @param leaderVm name of the VM of the leader of the term, if known
 */
public record Leadership(boolean leader, long term, Optional<String> leaderVm) {}
