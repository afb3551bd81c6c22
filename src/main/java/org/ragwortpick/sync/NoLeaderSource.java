package org.ragwortpick.sync;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.ragwortpick.config.Configuration;

/** Leader source of a VM without the control role. */
public final class NoLeaderSource implements LeaderSource {

  /** Creates the source. */
  public NoLeaderSource() {}

  @Override
  public boolean isLeader() {
    return false;
  }

  @Override
  public long term() {
    return 0;
  }

  @Override
  public Optional<String> leaderVm() {
    return Optional.empty();
  }

  @Override
  public OptionalLong confirmedAtMs() {
    return OptionalLong.empty();
  }

  @Override
  public Configuration configuration() {
    return Configuration.EMPTY;
  }

  @Override
  public ConfigurationDelta deltaSince(long revision) {
    return new ConfigurationDelta(0, 0, true, new TreeMap<>(), List.of());
  }
}
