package org.ragwortpick.bench;

/**
 * Load and faults of one run.
 *
 * @param name name in the results
 * @param lengthMs length in milliseconds
 * @param load load as a share of what all engines can run
 * @param burstWorkspace index of the workspace that bursts; -1 for none
 * @param burstFactor additional load of the burst as a share of what all engines can run
 * @param burstFromMs start of the burst in milliseconds
 * @param burstToMs end of the burst in milliseconds
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

  /** Fault that is injected during a run. */
  enum Fault {
    /** No fault. */
    NONE,
    /**
     * All retrievers get five times slower for 30 s, one of them twenty times, and one engine three
     * times.
     */
    SLOW_STAGE,
    /** A third of the engines restart at the same time and are cold afterwards. */
    COLD_START,
    /** An engine gets cold without a restart and reports it only in its next announcement. */
    SILENT_COLD,
    /** The first upstream of each service kind fails every request for 30 s. */
    FAILING,
    /** Operators take a data centre out of service and return it. */
    MOVE,
    /** Same as MOVE, while one entry VM is isolated from the control VMs. */
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
