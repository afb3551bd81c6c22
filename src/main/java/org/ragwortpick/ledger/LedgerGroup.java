package org.ragwortpick.ledger;

import org.ragwortpick.consensus.ConsensusGroup;

/**
 * Local replica of one group of execution records.
 *
 * @param name name of the group, such as {@code executions-0}
 * @param consensus replicated log of the group
 * @param stateMachine state machine of the group
 */
public record LedgerGroup(
    String name, ConsensusGroup consensus, ExecutionStateMachine stateMachine) {}
