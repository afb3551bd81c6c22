package org.ragwortpick.control;

import org.jboss.logging.Logger;

/**
 * Voters that a group needs to accept changes while disks may be lost at the same time.
 *
 * <p>A change is accepted if a majority exceeds the disks that may be lost, so that it is never
 * lost. Whether the remaining voters can accept further changes after such a loss takes one voter
 * more; without it, changes are accepted with a warning.
 */
public final class VoterRequirement {

  private static final Logger LOG = Logger.getLogger(VoterRequirement.class);

  private final int toleratedDiskLosses;
  private int warnedVoters;

  /**
   * Creates the requirement.
   *
   * @param toleratedDiskLosses disks that may be lost at the same time without losing an accepted
   *     change
   */
  public VoterRequirement(int toleratedDiskLosses) {
    this.toleratedDiskLosses = toleratedDiskLosses;
  }

  /**
   * Returns the number of voters below which no change is accepted.
   *
   * @return smallest number of voters whose majority exceeds the tolerated disk losses
   */
  public int acceptingVoters() {
    return Math.max(1, 2 * toleratedDiskLosses);
  }

  /**
   * Returns the number of voters that can lose the tolerated disks and still accept changes.
   *
   * @return smallest number of voters of which a majority remains
   */
  public int survivingVoters() {
    return 2 * toleratedDiskLosses + 1;
  }

  /**
   * Returns whether any group meets the requirement.
   *
   * @return true if no loss of a disk is to be borne
   */
  boolean isAlwaysMet() {
    return toleratedDiskLosses == 0;
  }

  /**
   * Returns whether a leader may accept a change, and logs what its voters cannot promise.
   *
   * @param voters voters of the group
   * @return false if an accepted change could be lost
   */
  synchronized boolean isMet(int voters) {
    if (voters < acceptingVoters()) {
      LOG.warnf(
          "refused a change: %d voters hold the log and %d are needed to bear the loss of %d disks;"
              + " start more control VMs with a disk or lower toleratedDiskLosses",
          voters, acceptingVoters(), toleratedDiskLosses);
      return false;
    }
    if (voters < survivingVoters() && voters != warnedVoters) {
      LOG.warnf(
          "%d voters hold the log: no change is lost with %d disks, but none is accepted after it;"
              + " start %d more control VMs with a disk",
          voters, toleratedDiskLosses, survivingVoters() - voters);
    }
    warnedVoters = voters;
    return true;
  }
}
