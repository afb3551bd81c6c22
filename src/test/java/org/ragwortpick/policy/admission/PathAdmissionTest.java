package org.ragwortpick.policy.admission;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.ragwortpick.common.ManualClock;
import org.testng.annotations.Test;

/** Guards against announced requests that are kept for good. */
public final class PathAdmissionTest {

  private static final WorkOwner OWNER = new WorkOwner(0, "w");

  private final PathAdmission paths = new PathAdmission(() -> true, new ManualClock());

  private void announce(List<PathStage> following) {
    paths.announce("r", 0, 0, 300, OWNER, new RequestPath("w", 100, 2_000, 100, following));
  }

  @Test
  public void requestWithoutLaterStagesIsNotKept() {
    announce(List.of());
    assertEquals(paths.announcedRequests(), 0);
  }

  @Test
  public void requestIsForgottenWhenItsLastStageHasArrived() {
    announce(List.of(new PathStage(1, "later", 4, 300, List.of(0))));
    assertEquals(paths.announcedRequests(), 1);
    paths.recordArrival("r", "later");
    assertEquals(paths.announcedRequests(), 0);
  }
}
