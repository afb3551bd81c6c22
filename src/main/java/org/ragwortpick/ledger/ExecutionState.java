package org.ragwortpick.ledger;

/** State of an execution record; the transitions stand in {@code execution-record.json}. */
public enum ExecutionState {
  /** No record exists. */
  NONE,
  /** An attempt holds the right to dispatch the call. */
  PENDING,
  /** The service answered. */
  DONE,
  /** The holder stated that it did not dispatch the call. */
  NOT_RUN,
  /** The call may or may not have run. */
  UNKNOWN,
  /** The record was dropped after its retention time; the key must not be used again. */
  EXPIRED
}
