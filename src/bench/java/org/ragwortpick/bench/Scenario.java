package org.ragwortpick.bench;

/**
 * Load and faults of one run.
 *
 * @param name name in the results
 * @param lengthMs length in milliseconds
 * @param load load as a share of what all engines can run
 * @param burstWorkspace index of the workspace that bursts; -1 for none
 * @param burstFactor additional load of the burst as a share of what all engines can run
 * @param burstFromMs start of the burst
 * @param burstToMs end of the burst
 * @param fault fault that happens during the run
 */
record Scenario(
    String name,
    double lengthMs,
    double load,
    int burstWorkspace,
    double burstFactor,
    double burstFromMs,
    double burstToMs,
    Fault fault) {

  /** What goes wrong during a run. */
  enum Fault {
    /** Nothing. */
    NONE,
    /** The retrievers get five times slower for a while, one of them twenty times. */
    SLOW_STAGE,
    /** A third of the engines restarts cold at the same time. */
    COLD_START,
    /** An engine gets cold while it runs and says so only with its next announcement. */
    SILENT_COLD,
    /** One upstream of each service fails every request for a while. */
    FAILING,
    /** Operators take a data centre out of service and return it. */
    MOVE,
    /** As MOVE, while one entry VM is cut off from the control VMs. */
    MOVE_ISOLATED
  }

  /**
   * Creates a scenario without a burst.
   *
   * @param name name in the results
   * @param load load as a share of what all engines can run
   * @param fault fault that happens during the run
   * @return the scenario
   */
  static Scenario of(String name, double load, Fault fault) {
    return new Scenario(name, 100_000, load, -1, 0, 0, 0, fault);
  }
}
