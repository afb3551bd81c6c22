package org.ragwortpick.vm;

import java.util.Optional;
import java.util.OptionalLong;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.consensus.ConsensusGroup;
import org.ragwortpick.control.ConfigurationStateMachine;
import org.ragwortpick.sync.ConfigurationDelta;
import org.ragwortpick.sync.LeaderSource;

/** Leader source of a control VM: the local replica of the configuration group. */
final class ConsensusLeaderSource implements LeaderSource {

  private final ConsensusGroup group;
  private final ConfigurationStateMachine machine;

  /**
   * Creates the source.
   *
   * @param group configuration group
   * @param machine its local state machine
   */
  ConsensusLeaderSource(ConsensusGroup group, ConfigurationStateMachine machine) {
    this.group = group;
    this.machine = machine;
  }

  @Override
  public boolean isLeader() {
    return group.leadership().leader();
  }

  @Override
  public long term() {
    return group.leadership().term();
  }

  @Override
  public Optional<String> leaderVm() {
    return group.leadership().leaderVm();
  }

  @Override
  public OptionalLong confirmedAtMs() {
    return group.confirmedAtMs();
  }

  @Override
  public Configuration configuration() {
    return machine.current().configuration();
  }

  @Override
  public ConfigurationDelta deltaSince(long revision) {
    return machine
        .deltaSince(revision)
        .filter(delta -> revision > 0)
        .map(delta -> convert(delta, false))
        .orElseGet(() -> convert(machine.fullDelta(), true));
  }

  private static ConfigurationDelta convert(
      org.ragwortpick.config.ConfigurationDelta delta, boolean snapshot) {
    return new ConfigurationDelta(
        delta.fromRevision(),
        delta.toRevision(),
        snapshot,
        delta.puts(),
        delta.deletes().stream().toList());
  }
}
