/**
 * Deterministic core of the replicated log: it reads no clock of its own, no disk and no socket.
 */
package org.ragwortpick.consensus.raft;
