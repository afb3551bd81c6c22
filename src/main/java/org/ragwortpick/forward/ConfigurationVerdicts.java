package org.ragwortpick.forward;

import org.ragwortpick.sync.ConfigurationView;
import org.ragwortpick.sync.SyncTimings;

/**
 * Decides whether the configuration of the local VM may refuse a request for good. Its caller does
 * not try again after such a refusal, so a VM that may have missed a change must not give it: a
 * newer configuration may allow the request.
 */
final class ConfigurationVerdicts {

  private final ForwardDependencies dependencies;

  /**
   * Creates an instance.
   *
   * @param dependencies dependencies that all requests share
   */
  ConfigurationVerdicts(ForwardDependencies dependencies) {
    this.dependencies = dependencies;
  }

  /**
   * Returns the refusal of a request that a configuration does not allow. To be called after the
   * lookup, because the process may have stood still before it.
   *
   * @param verdict refusal that follows from the configuration
   * @param revision revision of the configuration in which the request was looked up
   * @return the verdict, or a refusal for now if the configuration may be out of date
   */
  Refusal confirm(Refusal verdict, long revision) {
    return isCurrent(revision) ? verdict : Refusal.unconfirmed(verdict);
  }

  private boolean isCurrent(long revision) {
    ConfigurationView view = dependencies.configuration();
    // A configuration becomes current before it is confirmed. Read in the other order, the time
    // could belong to a configuration that replaced the one of the lookup.
    long confirmedAtMs = view.confirmedAtMs();
    return view.current().revision() == revision
        && includesChangesInForce(confirmedAtMs)
        && dependencies.readDelay().maxMs() == 0
        && dependencies.viewIsCurrent().getAsBoolean();
  }

  /** Returns whether a view has all changes that have to be in force by now. */
  private boolean includesChangesInForce(long confirmedAtMs) {
    long ageMs = dependencies.clock().millis() - confirmedAtMs;
    return SyncTimings.maxLocalMs(ageMs) < SyncTimings.CHANGE_IN_FORCE_MS;
  }
}
