package org.ragwortpick.entry;

/** Runtime checks of invariants. A failed check ends the request instead of delivering its data. */
public final class Invariants {

  private Invariants() {}

  /**
   * Checks a condition.
   *
   * @param holds the condition
   * @param message description of the violation
   * @throws IllegalStateException if the condition does not hold
   */
  public static void check(boolean holds, String message) {
    if (!holds) {
      throw new IllegalStateException("invariant violated: " + message);
    }
  }
}
