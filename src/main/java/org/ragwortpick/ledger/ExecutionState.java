package org.ragwortpick.ledger;

/** State of an execution record. The transitions are defined in {@code execution-record.json}. */
public enum ExecutionState {
  /** No record exists. */
  NONE,
  /** An attempt holds the right to dispatch the call. */
  PENDING,
  /** The upstream responded. */
  DONE,
  /** The holder reported that it did not dispatch the call. */
  NOT_RUN,
  /** The call may or may not have run. */
  UNKNOWN,
  /** The record was dropped after its retention time; the key must not be used again. */
  EXPIRED
}
