package org.ragwortpick.consensus;

import java.util.Optional;

/**
 * Role of the local replica as it knows it.
 *
 * @param leader whether the local replica is the leader
 * @param term current term
 * @param leaderVm name of the VM that leads the term, if known
 */
public record Leadership(boolean leader, long term, Optional<String> leaderVm) {}
