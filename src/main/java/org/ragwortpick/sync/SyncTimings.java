package org.ragwortpick.sync;

/** Intervals and leases of the polling protocol, in milliseconds. */
public final class SyncTimings {

  /** Interval of regular polls. */
  public static final long POLL_INTERVAL_MS = 500;

  /** Deadline of one call; shorter than the interval, so that polls of one VM never overlap. */
  public static final long CALL_TIMEOUT_MS = 400;

  /** Shortest time between two polls of one VM. */
  public static final long EARLY_POLL_MS = 50;

  /** Age of the last confirmation up to which a configuration is in force. */
  public static final long CONFIG_LEASE_MS = 4_000;

  /**
   * Age of a response above which the next poll goes to another source. Two VMs that relay for each
   * other part before the VM timeout; a chain of two relays stays below it.
   */
  public static final long SOURCE_AGE_MS = 2_000;

  /** Silence after which a VM counts as lost. */
  public static final long VM_TIMEOUT_MS = 3_000;

  /** Silence after which the home VM declares an upstream lost. */
  public static final long UPSTREAM_TIMEOUT_MS = 3_000;

  /**
   * Time for which the upstreams of a lost home VM are still offered. The loss is judged after
   * 3,000 ms and takes up to two polls to spread, so this sum stays at about 5 s.
   */
  public static final long HOME_GRACE_MS = 1_000;

  /** Time after which records of lost VMs and upstreams are dropped. */
  public static final long RETENTION_MS = 60_000;

  /** Length of a lease on a cold allowance, by the clock of the holder. */
  public static final long ALLOWANCE_LEASE_MS = 2_000;

  /** Longest time for which a stage runs at an upstream. */
  public static final long LONGEST_STAGE_MS = 3_000;

  /** Age of the quorum confirmation up to which a leader grants allowances. */
  public static final long LEADER_LEASE_MS = 400;

  /** Time for which callers may use an address response. */
  public static final long ADDRESS_VALIDITY_MS = 3_000;

  /** Time added to the validity of address responses before a leaving VM stops to serve. */
  public static final long ADDRESS_MARGIN_MS = 2_000;

  private static final long DRIFT_PERCENT = 1;
  private static final long PERCENT = 100;

  private SyncTimings() {}

  /**
   * Returns the longest time that passes on the local clock while another clock advances by the
   * given time. Clock rates are off by at most 1% each.
   *
   * @param otherMs time on the other clock in milliseconds
   * @return time on the local clock in milliseconds, rounded up
   */
  public static long longestLocalMs(long otherMs) {
    long slow = PERCENT - DRIFT_PERCENT;
    return (otherMs * (PERCENT + DRIFT_PERCENT) + slow - 1) / slow;
  }
}
