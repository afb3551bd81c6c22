package org.ragwortpick.ledger;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/**
 * Guards against a second execution, an untrue "not run" and a contradicted outcome when entry VMs
 * crash, freeze past their lease, lose answers and receive the same key at once.
 */
public final class LedgerRandomRunTest {

  private static final int SEEDS = 6_000;

  @Test
  public void invariantsHoldForAllSeeds() {
    int executions = 0;
    int notRunAnswers = 0;
    int lateWork = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      LedgerRun run = new LedgerRun(seed);
      try {
        run.run();
      } catch (AssertionError | IllegalStateException e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
      executions += run.executions();
      notRunAnswers += run.notRunAnswers();
      lateWork += run.leaseRefusals();
    }
    // The run proves nothing if the interesting cases do not occur.
    assertTrue(executions > SEEDS, "executions " + executions);
    assertTrue(notRunAnswers > SEEDS / 10, "answers not run " + notRunAnswers);
    assertTrue(lateWork > SEEDS / 100, "dispatches refused by the lease " + lateWork);
  }
}
