package org.ragwortpick.policy.budget;

import java.util.List;
import java.util.function.Supplier;
import org.ragwortpick.policy.RetryShare;

/** Divides the constant of a retry budget among the VMs that use it. Confined to one thread. */
public final class SharedRetryConstant implements Supplier<RetryShare> {

  private final int constant;
  private final Supplier<List<String>> vms;

  /**
   * Creates the divider of the local VM.
   *
   * @param constant constant of all VMs together
   * @param vms names of the VMs in the local view that send retries
   */
  public SharedRetryConstant(int constant, Supplier<List<String>> vms) {
    this.constant = constant;
    this.vms = vms;
  }

  @Override
  public RetryShare get() {
    return new RetryShare(constant, Math.max(1, vms.get().size()));
  }
}
