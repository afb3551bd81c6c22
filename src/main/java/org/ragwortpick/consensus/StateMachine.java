package org.ragwortpick.consensus;

/** Deterministic state machine that applies the committed commands of one consensus group. */
public interface StateMachine {

  /**
   * Applies a committed command. Called once per index, in order, by one thread.
   *
   * @param index log index of the command
   * @param command the command
   * @return result returned to the proposer
   */
  byte[] apply(long index, byte[] command);

  /**
   * Encodes the whole state for a snapshot.
   *
   * @return the encoded state
   */
  byte[] snapshot();

  /**
   * Replaces the state by that of a snapshot.
   *
   * @param snapshot the encoded state
   */
  void restore(byte[] snapshot);
}
