package org.ragwortpick.sync;

/** Intervals and leases of the polling protocol, in milliseconds. */
public final class SyncTimings {

  /** Interval of regular polls. */
  public static final long POLL_INTERVAL_MS = 500;

  /** Timeout of one poll; shorter than the interval, so that polls of one VM never overlap. */
  public static final long POLL_TIMEOUT_MS = 400;

  /** Minimum time between two polls of one VM. */
  public static final long MIN_POLL_INTERVAL_MS = 50;

  /**
   * Time after its acknowledgement within which a change has to be in force. A VM whose view was
   * confirmed less than this time ago has all changes that a caller may rely on.
   */
  public static final long CHANGE_IN_FORCE_MS = 2_000;

  /**
   * Time without a new part after which the transfer of a configuration is given up and started
   * again: two lost polls and the next one.
   */
  public static final long TRANSFER_IDLE_MS = 2 * POLL_INTERVAL_MS + POLL_TIMEOUT_MS;

  /** Time after its last confirmation for which a configuration is in force. */
  public static final long CONFIG_LEASE_MS = 4_000;

  /**
   * Age of a confirmation up to which a source is not searched for a better one: a control VM that
   * polls the leader stays below it even after a lost poll. One more interval and a lost poll of
   * the local VM stay below the 2,000 ms within which an accepted change has to be in force.
   */
  public static final long FRESH_SOURCE_AGE_MS = 1_000;

  /**
   * Age of a confirmation at which the next poll goes to another source. Two VMs that relay for
   * each other stop polling each other before the VM timeout; a chain of two relays stays below
   * this age.
   */
  public static final long MAX_SOURCE_AGE_MS = 2_000;

  /** Time without a heartbeat after which the leader flags a VM as lost. */
  public static final long VM_TIMEOUT_MS = 3_000;

  /** Time without an announcement after which the home VM declares an upstream lost. */
  public static final long UPSTREAM_TIMEOUT_MS = 3_000;

  /**
   * Time for which the upstreams of a lost home VM are still offered. The loss is detected after
   * 3,000 ms and takes up to two polls to reach all VMs, so the sum is about 5 s.
   */
  public static final long HOME_GRACE_MS = 1_000;

  /** Time after which the records of lost VMs and upstreams are removed. */
  public static final long RECORD_RETENTION_MS = 60_000;

  /** Time for which the only uncleared crash of a content counts. */
  public static final long SINGLE_CRASH_RETENTION_MS = 600_000;

  /** Time for which several uncleared crashes of a content count after the newest of them. */
  public static final long REPEATED_CRASH_RETENTION_MS = 6 * 3_600_000;

  /** Length of a lease on a cold allowance, by the clock of the holder. */
  public static final long ALLOWANCE_LEASE_MS = 2_000;

  /** Maximum time for which a stage runs at an upstream. */
  public static final long MAX_STAGE_MS = 3_000;

  /** Maximum age of the quorum confirmation with which a leader may grant allowances. */
  public static final long LEADER_LEASE_MS = 400;

  /** Time for which callers may use an address response. */
  public static final long ADDRESS_VALIDITY_MS = 3_000;

  /** Time added to the validity of address responses before a leaving VM stops serving. */
  public static final long ADDRESS_MARGIN_MS = 2_000;

  private static final long MAX_CLOCK_DRIFT_PERCENT = 1;
  private static final long PERCENT = 100;

  private SyncTimings() {}

  /**
   * Returns the longest time that can pass on the local clock while another clock advances by the
   * given time. The rate of each clock deviates by at most 1%.
   *
   * @param remoteMs time on the other clock in milliseconds
   * @return time on the local clock in milliseconds, rounded up
   */
  public static long maxLocalMs(long remoteMs) {
    long slowestPercent = PERCENT - MAX_CLOCK_DRIFT_PERCENT;
    long fastestPercent = PERCENT + MAX_CLOCK_DRIFT_PERCENT;
    return (remoteMs * fastestPercent + slowestPercent - 1) / slowestPercent;
  }
}
