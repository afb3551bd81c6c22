/**
 * Deterministic Raft core of the replicated log. It performs no I/O; its clock and its source of
 * random numbers are passed in.
 */
package org.ragwortpick.consensus.raft;
