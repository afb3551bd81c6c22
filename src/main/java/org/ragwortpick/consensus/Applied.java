package org.ragwortpick.consensus;

/**
 * Result of a command that was committed and applied.
 *
 * @param index log index of the command
 * @param result what the state machine returned
 */
public record Applied(long index, byte[] result) {}
