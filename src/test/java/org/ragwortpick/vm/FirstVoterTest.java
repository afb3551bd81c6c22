package org.ragwortpick.vm;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.consensus.ReplicaProbe.Answer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against deployments that form no control group at their first start, or two. */
public final class FirstVoterTest {

  private static final HostPort LOWEST = new HostPort("10.0.0.1", 7_000);
  private static final HostPort MIDDLE = new HostPort("10.0.0.2", 7_000);
  private static final HostPort HIGHEST = new HostPort("10.0.0.3", 7_000);
  private static final long PROBE_MS = 500;

  private ManualClock clock;
  private Map<HostPort, Answer> answers;

  @BeforeMethod
  public void setUp() {
    clock = new ManualClock();
    answers = new HashMap<>();
  }

  private Answer probe(HostPort seed) {
    clock.advanceMs(PROBE_MS);
    return answers.getOrDefault(seed, Answer.UNREACHABLE);
  }

  private boolean formsGroup(HostPort local) {
    return new FirstVoter(local, List.of(HIGHEST, LOWEST, MIDDLE), this::probe).isLocal(clock);
  }

  @Test
  public void lowestSeedFormsGroupWithoutWaiting() {
    assertTrue(formsGroup(LOWEST));
  }

  @Test
  public void seedJoinsIfLowerSeedHostsReplica() {
    answers.put(LOWEST, Answer.NO_REPLICA);
    answers.put(MIDDLE, Answer.REPLICA);
    assertFalse(formsGroup(HIGHEST));
  }

  @Test
  public void seedFormsGroupIfLowerSeedsHaveNoDisk() {
    answers.put(LOWEST, Answer.NO_REPLICA);
    answers.put(MIDDLE, Answer.NO_REPLICA);
    assertTrue(formsGroup(HIGHEST));
  }

  @Test
  public void seedJoinsIfLowerSeedNeverAnswers() {
    answers.put(LOWEST, Answer.NO_REPLICA);
    assertFalse(formsGroup(HIGHEST));
  }

  @Test
  public void otherVmJoins() {
    assertFalse(formsGroup(new HostPort("10.0.0.0", 7_000)));
  }
}
