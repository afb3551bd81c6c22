package org.ragwortpick.vm;

import java.util.Optional;
import java.util.OptionalLong;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.consensus.ConsensusGroup;
import org.ragwortpick.control.ConfigurationStateMachine;
import org.ragwortpick.sync.ConfigurationDelta;
import org.ragwortpick.sync.LeaderSource;

/** Leader source of a control VM, backed by the local replica of the configuration group. */
final class ConsensusLeaderSource implements LeaderSource {

  private final ConsensusGroup group;
  private final ConfigurationStateMachine stateMachine;

  /**
   * Creates the source.
   *
   * @param group configuration group
   * @param stateMachine local state machine of the group
   */
  ConsensusLeaderSource(ConsensusGroup group, ConfigurationStateMachine stateMachine) {
    this.group = group;
    this.stateMachine = stateMachine;
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
    return stateMachine.current().configuration();
  }

  @Override
  public ConfigurationDelta deltaSince(long revision) {
    return stateMachine
        .deltaSince(revision)
        .filter(delta -> revision > 0)
        .map(delta -> convert(delta, false))
        .orElseGet(() -> convert(stateMachine.fullDelta(), true));
  }

  private static ConfigurationDelta convert(
      org.ragwortpick.config.DocumentDelta delta, boolean isSnapshot) {
    return new ConfigurationDelta(
        delta.fromRevision(),
        delta.toRevision(),
        isSnapshot,
        delta.puts(),
        delta.deletes().stream().toList());
  }
}
