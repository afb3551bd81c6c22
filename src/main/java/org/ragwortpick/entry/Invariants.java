package org.ragwortpick.entry;

/** Checks that hold in every run. A failed check ends the request rather than delivering data. */
public final class Invariants {

  private Invariants() {}

  /**
   * Checks a condition.
   *
   * @param holds the condition
   * @param message what does not hold
   * @throws IllegalStateException if the condition does not hold
   */
  public static void check(boolean holds, String message) {
    if (!holds) {
      throw new IllegalStateException("invariant violated: " + message);
    }
  }
}
