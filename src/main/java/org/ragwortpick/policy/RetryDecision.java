package org.ragwortpick.policy;

/**
 * Answer of a retry budget with the counts that led to it.
 *
 * @param granted whether the attempt may be sent
 * @param taken retries and hedges in the window, including this one if it was granted
 * @param firstAttempts first attempts that count for the window
 * @param share share of the constant that was applied
 */
public record RetryDecision(boolean granted, int taken, int firstAttempts, RetryShare share) {

  @Override
  public String toString() {
    return "%s taken=%d first=%d constant=%d/%d"
        .formatted(
            granted ? "granted" : "denied", taken, firstAttempts, share.constant(), share.vms());
  }
}
