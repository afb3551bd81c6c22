package org.ragwortpick.consensus;

/**
 * Result of a committed and applied command.
 *
 * @param index log index of the command
 * @param result value returned by the state machine
 */
public record Applied(long index, byte[] result) {}
