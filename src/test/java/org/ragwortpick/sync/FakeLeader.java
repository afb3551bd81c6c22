package org.ragwortpick.sync;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.LongSupplier;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.ConfigurationDocuments;

/** Fake control replica; a test sets its leadership, confirmation time and committed changes. */
public final class FakeLeader implements LeaderSource {

  private final Committed committed;
  private final LongSupplier confirmedAtMs;
  private volatile boolean leading;
  private volatile long term;
  private volatile String leaderVm;
  private volatile long appliedRevision = Long.MAX_VALUE;

  public FakeLeader(Committed committed, LongSupplier confirmedAtMs) {
    this.committed = committed;
    this.confirmedAtMs = confirmedAtMs;
  }

  /** Sets the leadership that the replica reports. */
  public void setLeadership(boolean isLeading, long newTerm, String newLeaderVm) {
    leading = isLeading;
    term = newTerm;
    leaderVm = newLeaderVm;
  }

  /** Limits the replica to the changes up to a revision. */
  public void applyUpTo(long revision) {
    appliedRevision = revision;
  }

  @Override
  public boolean isLeader() {
    return leading;
  }

  @Override
  public long term() {
    return term;
  }

  @Override
  public Optional<String> leaderVm() {
    return Optional.ofNullable(leaderVm);
  }

  @Override
  public OptionalLong confirmedAtMs() {
    return leading ? OptionalLong.of(confirmedAtMs.getAsLong()) : OptionalLong.empty();
  }

  @Override
  public Configuration configuration() {
    return committed.configuration(appliedRevision);
  }

  @Override
  public ConfigurationDelta deltaSince(long revision) {
    return committed.deltaSince(revision, appliedRevision);
  }

  /** Committed revisions, shared by the replicas of one test. */
  public static final class Committed {

    private final ConcurrentSkipListMap<Long, SortedMap<String, String>> revisions =
        new ConcurrentSkipListMap<>(Map.of(0L, new TreeMap<>()));

    /** Commits the next revision with one changed document; a null text deletes it. */
    public long commit(String key, String text) {
      SortedMap<String, String> documents = new TreeMap<>(revisions.lastEntry().getValue());
      if (text == null) {
        documents.remove(key);
      } else {
        documents.put(key, text);
      }
      long revision = revisions.lastKey() + 1;
      revisions.put(revision, documents);
      return revision;
    }

    public long revision() {
      return revisions.lastKey();
    }

    Configuration configuration(long maxRevision) {
      Map.Entry<Long, SortedMap<String, String>> last = revisions.floorEntry(maxRevision);
      return ConfigurationDocuments.fromDocuments(last.getKey(), last.getValue());
    }

    ConfigurationDelta deltaSince(long from, long maxRevision) {
      SortedMap<String, String> old = revisions.get(from);
      Map.Entry<Long, SortedMap<String, String>> last = revisions.floorEntry(maxRevision);
      SortedMap<String, String> puts = new TreeMap<>(last.getValue());
      if (from == 0 || old == null) {
        return new ConfigurationDelta(0, last.getKey(), true, puts, List.of());
      }
      puts.entrySet().removeAll(old.entrySet());
      List<String> deletes =
          old.keySet().stream().filter(key -> !last.getValue().containsKey(key)).toList();
      return new ConfigurationDelta(from, last.getKey(), false, puts, deletes);
    }
  }
}
