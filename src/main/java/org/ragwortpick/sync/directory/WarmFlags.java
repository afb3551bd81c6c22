package org.ragwortpick.sync.directory;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.ragwortpick.sync.ConfigurationView;
import org.ragwortpick.sync.Upstream;

/**
 * Flags of the leader that tell which upstreams are warm.
 *
 * <p>A flag is valid only while the configuration view is in force. Afterwards the leader may have
 * restarted the ramp and the local VM may not have received it, so the upstream counts as cold.
 */
public final class WarmFlags {

  private final SoftTable table;
  private final ConfigurationView view;

  /** Lowest leader term whose flags are valid. */
  private final AtomicLong floor = new AtomicLong();

  /**
   * Creates the flags.
   *
   * @param table table with the flags
   * @param view configuration view of the local VM
   */
  public WarmFlags(SoftTable table, ConfigurationView view) {
    this.table = table;
    this.view = view;
  }

  /**
   * Tells whether an upstream may be sent as many requests as it has slots.
   *
   * @param upstream the upstream
   * @return true if the leader flagged this incarnation as warm
   */
  public boolean isWarm(Upstream upstream) {
    return view.isInForce() && isSet(upstream.id(), upstream.incarnation());
  }

  /**
   * Tells whether the flag of an incarnation is set, regardless of the age of the view.
   *
   * @param id identity of the upstream
   * @param incarnation incarnation of the upstream
   * @return true if it is set and still valid
   */
  public boolean isSet(String id, long incarnation) {
    return flag(id)
        .filter(flag -> flag.set() && flag.incarnation() == incarnation)
        .filter(flag -> flag.stamp().term() >= floor.get())
        .isPresent();
  }

  /**
   * Tells whether the flag of any incarnation is set, regardless of the age of the view.
   *
   * @param id identity of the upstream
   * @return true if it is set and still valid
   */
  public boolean isSetForAnyIncarnation(String id) {
    return flag(id).filter(flag -> flag.set() && flag.stamp().term() >= floor.get()).isPresent();
  }

  /**
   * Returns the stamp of the newest flag of an upstream.
   *
   * @param id identity of the upstream
   * @return the stamp, or the oldest stamp if there is no flag
   */
  public Stamp stampOf(String id) {
    return flag(id).map(SoftRecord.Flag::stamp).orElse(Stamp.NONE);
  }

  private Optional<SoftRecord.Flag> flag(String id) {
    return VmFailureDetector.flag(table, SoftRecord.Flag.Kind.UPSTREAM_WARM, id);
  }

  /**
   * Returns the lowest leader term whose flags are valid.
   *
   * @return the term
   */
  public long floor() {
    return floor.get();
  }

  /**
   * Invalidates the flags of earlier leader terms.
   *
   * @param term lowest term whose flags are valid
   */
  public void raiseFloor(long term) {
    floor.accumulateAndGet(term, Math::max);
  }
}
