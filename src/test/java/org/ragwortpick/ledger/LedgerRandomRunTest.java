package org.ragwortpick.ledger;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/**
 * Guards against duplicate executions, false "not run" responses and contradictory outcomes when
 * entry VMs crash, are suspended past their lease, lose responses and concurrently receive requests
 * with the same key.
 */
public final class LedgerRandomRunTest {

  private static final int SEEDS = 6_000;

  @Test
  public void invariantsHoldForAllSeeds() {
    int executions = 0;
    int notRunResponses = 0;
    int leaseRefusals = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      LedgerRun run = new LedgerRun(seed);
      try {
        run.run();
      } catch (AssertionError | IllegalStateException e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
      executions += run.executions();
      notRunResponses += run.notRunResponses();
      leaseRefusals += run.leaseRefusals();
    }
    // The test is meaningless if these cases are too rare.
    assertTrue(executions > SEEDS, "executions " + executions);
    assertTrue(notRunResponses > SEEDS / 10, "not-run responses " + notRunResponses);
    assertTrue(leaseRefusals > SEEDS / 100, "dispatches refused by the lease " + leaseRefusals);
  }
}
