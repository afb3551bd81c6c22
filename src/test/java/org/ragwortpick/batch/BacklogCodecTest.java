package org.ragwortpick.batch;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import org.ragwortpick.policy.admission.PathStage;
import org.ragwortpick.policy.admission.RequestPath;
import org.ragwortpick.policy.admission.StageBacklog;
import org.testng.annotations.Test;

/** Messages about paths and backlogs. */
public final class BacklogCodecTest {

  @Test
  public void pathIsUnchangedByMessage() {
    RequestPath path =
        new RequestPath("w", 100, -5, 30, List.of(new PathStage(2, "svc", 3, 250, List.of(0, 1))));
    assertEquals(BacklogCodec.decode(BacklogCodec.encode(path)), path);
  }

  @Test
  public void backlogKeepsAgeAcrossVms() {
    StageBacklog backlog =
        new StageBacklog("svc", 900, 0.5, 400, Map.of(0, 3, 10, 7), Map.of(0, 0.25, 10, 0.0));
    StageBacklog received =
        BacklogCodec.decode(BacklogCodec.encode(List.of(backlog), 1_000), 5_000).get(0);
    assertEquals(received.measuredAtMs(), 4_900);
    assertEquals(received.queuedPieces(), backlog.queuedPieces());
    assertEquals(received.servedPerMs(), backlog.servedPerMs());
  }

  /** A capacity that is not a number would refuse or admit every request. */
  @Test
  public void invalidBacklogIsLeftOut() {
    org.ragwortpick.proto.StageBacklog message =
        org.ragwortpick.proto.StageBacklog.newBuilder().setService("svc").build();
    List<org.ragwortpick.proto.StageBacklog> invalid =
        List.of(
            message.toBuilder().setPiecesPerSecond(Float.NaN).build(),
            message.toBuilder().setPiecesPerSecond(-1).build(),
            message.toBuilder().addPriorities(1).build());
    assertEquals(BacklogCodec.decode(invalid, 0), List.of());
  }
}
