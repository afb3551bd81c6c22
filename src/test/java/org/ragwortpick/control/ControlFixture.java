package org.ragwortpick.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.config.Inventory;
import org.ragwortpick.config.Placement;
import org.ragwortpick.config.Service;
import org.ragwortpick.config.ServiceKind;
import org.ragwortpick.config.Workspace;
import org.ragwortpick.control.leader.LeaderLease;
import org.ragwortpick.control.leader.LeaderTenure;
import org.ragwortpick.ledger.DirectGroup;
import org.ragwortpick.rollout.RolloutBounds;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamDirectory;
import org.ragwortpick.sync.UpstreamState;

/** Control module on a group that commits immediately, with a directory filled by the test. */
final class ControlFixture {

  static final long TIMEOUT_MS = 1_000;
  static final RolloutBounds BOUNDS = new RolloutBounds(0.1, 50, 5_000);

  private final ManualClock clock = new ManualClock();
  private final ConfigurationStateMachine machine = new ConfigurationStateMachine();
  private final DirectGroup group = new DirectGroup(machine, clock);
  private final LeaderLease lease = new LeaderLease(group, clock, new InlineScheduler(clock));
  private final LeaderTenure tenure = new LeaderTenure(group, clock);
  private final List<Upstream> upstreams = new ArrayList<>();
  private final UpstreamDirectory directory = new ListDirectory();
  private final PlacementSource placement = new DirectoryPlacement(directory, tenure);
  private final LeaderAdministration administration =
      new LeaderAdministration(
          group, machine, lease, placement, new VoterRequirement(0), Optional.of(BOUNDS));

  ManualClock clock() {
    return clock;
  }

  ConfigurationStateMachine machine() {
    return machine;
  }

  DirectGroup group() {
    return group;
  }

  LeaderLease lease() {
    return lease;
  }

  LeaderTenure tenure() {
    return tenure;
  }

  List<Upstream> upstreams() {
    return upstreams;
  }

  UpstreamDirectory directory() {
    return directory;
  }

  PlacementSource placement() {
    return placement;
  }

  LeaderAdministration administration() {
    return administration;
  }

  static Inventory inventory(List<Placement> placements, Workspace... workspaces) {
    return new Inventory(
        "norte-es",
        List.of("norte-a", "norte-b", "norte-c"),
        List.of(new Service("tutor-lm", ServiceKind.ENGINE, 8, 2, 1_000, placements)),
        List.of(),
        List.of(workspaces));
  }

  static Placement place(String dataCentre, String model, int replicas, String... adapters) {
    return new Placement(dataCentre, model, "1", List.of(adapters), replicas);
  }

  static Upstream engine(String id, String dataCentre, String model, String... adapters) {
    return new Upstream(
        id,
        1,
        1,
        new HostPort("127.0.0.1", 9),
        dataCentre,
        "tutor-lm",
        model,
        "1",
        List.of(adapters),
        UpstreamState.READY,
        8,
        2,
        0,
        false);
  }

  void propose(Inventory inventory) {
    ProposeRequest request =
        new ProposeRequest(
            "setup-" + machine.current().revision(),
            machine.current().revision(),
            Optional.of(inventory),
            Optional.empty());
    get(administration.propose(request, TIMEOUT_MS)).get();
  }

  static <T> T get(CompletionStage<T> stage) {
    return stage.toCompletableFuture().join();
  }

  private final class ListDirectory implements UpstreamDirectory {
    @Override
    public List<Upstream> upstreams(String service) {
      return upstreams.stream().filter(upstream -> upstream.service().equals(service)).toList();
    }

    @Override
    public Optional<Upstream> find(String id) {
      return upstreams.stream().filter(upstream -> upstream.id().equals(id)).findFirst();
    }

    @Override
    public void announce(Upstream announcement) {
      upstreams.removeIf(upstream -> upstream.id().equals(announcement.id()));
      upstreams.add(announcement);
    }
  }
}
