package org.ragwortpick.policy;

/**
 * Share of one VM in the constant of a retry budget that several VMs use together.
 *
 * @param constant retries and hedges in one window that all VMs together may send regardless of
 *     first attempts
 * @param vms number of VMs among which the constant is divided
 */
public record RetryShare(int constant, int vms) {

  /** Share of a VM that may send only retries that its first attempts allow. */
  public static final RetryShare NONE = new RetryShare(0, 1);
}
