package org.ragwortpick.consensus.raft;

/** Thrown if a safety property of the log does not hold. Stops the replica. */
public final class InvariantViolationException extends IllegalStateException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message the violated property and the values that violate it
   */
  public InvariantViolationException(String message) {
    super(message);
  }

  /**
   * Throws if a property does not hold.
   *
   * @param holds whether the property holds
   * @param property name of the property
   * @param first first value for the message
   * @param second second value for the message
   * @throws InvariantViolationException if the property does not hold
   */
  static void check(boolean holds, String property, Object first, Object second) {
    if (!holds) {
      throw new InvariantViolationException(
          "invariant violated: " + property + " (values " + first + " and " + second + ")");
    }
  }
}
