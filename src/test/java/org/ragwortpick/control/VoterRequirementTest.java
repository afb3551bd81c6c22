package org.ragwortpick.control;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Collections;
import java.util.List;
import org.ragwortpick.consensus.raft.Membership;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against accepted changes that the tolerated loss of disks takes away. */
public final class VoterRequirementTest {

  @DataProvider
  public static Object[][] toleratedDiskLosses() {
    return new Object[][] {{0}, {1}, {2}, {3}, {7}};
  }

  private static int quorum(int voters) {
    return new Membership(Collections.nCopies(voters, "v"), List.of()).quorum();
  }

  @Test(dataProvider = "toleratedDiskLosses")
  public void changesAreAcceptedExactlyIfMajorityExceedsLosses(int losses) {
    VoterRequirement requirement = new VoterRequirement(losses);
    for (int voters = 1; voters <= 2 * losses + 3; voters++) {
      boolean outlivesLosses = quorum(voters) > losses;
      if (outlivesLosses) {
        assertTrue(requirement.isMet(voters), voters + " voters");
      } else {
        assertFalse(requirement.isMet(voters), voters + " voters");
      }
    }
  }

  @Test(dataProvider = "toleratedDiskLosses")
  public void majoritySurvivesLossesWithSurvivingVoters(int losses) {
    int voters = new VoterRequirement(losses).survivingVoters();
    assertTrue(voters - losses >= quorum(voters));
    assertTrue(losses == 0 || voters - 1 - losses < quorum(voters - 1));
  }
}
