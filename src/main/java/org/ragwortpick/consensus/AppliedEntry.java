package org.ragwortpick.consensus;

/**
 * Result of a committed and applied log entry.
 *
 * @param index log index of a command; commit index after a membership change
 * @param result value returned by the state machine; empty after a membership change
 */
public record AppliedEntry(long index, byte[] result) {}
