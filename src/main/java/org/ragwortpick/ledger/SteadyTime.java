package org.ragwortpick.ledger;

/**
 * Time that never runs faster than real time and is independent of the wall clocks. It is the sum
 * of the monotonic times between commands of the same process; the time between commands of two
 * processes counts as 0.
 *
 * @param steadyMs steady time in milliseconds
 * @param clockId random number of the process that stamped the last command
 * @param monotonicMs monotonic time of that process at the last command
 */
record SteadyTime(long steadyMs, long clockId, long monotonicMs) {

  /** Time before the first command. */
  static final SteadyTime START = new SteadyTime(0, 0, 0);

  /**
   * Returns the steady time after a command.
   *
   * @param commandClockId random number of the process that stamped the command; 0 if the command
   *     has no stamp
   * @param commandMs monotonic time of that process
   * @return the advanced time
   */
  SteadyTime advancedTo(long commandClockId, long commandMs) {
    if (commandClockId == 0) {
      return this;
    }
    if (commandClockId != clockId) {
      return new SteadyTime(steadyMs, commandClockId, commandMs);
    }
    // Commands of one process may be appended in a different order than they were stamped.
    long elapsedMs = Math.max(0, commandMs - monotonicMs);
    return new SteadyTime(steadyMs + elapsedMs, clockId, monotonicMs + elapsedMs);
  }
}
