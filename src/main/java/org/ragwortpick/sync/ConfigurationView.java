package org.ragwortpick.sync;

import org.ragwortpick.config.Configuration;

/** Configuration that the local VM has received, and the time of its last confirmation. */
public interface ConfigurationView {

  /**
   * Returns the newest configuration received. The revision never decreases.
   *
   * @return the configuration
   */
  Configuration current();

  /**
   * Tells whether the configuration was confirmed as current within the configuration lease. New
   * work may start only while this is true.
   *
   * @return true if the configuration is in force
   */
  boolean isInForce();

  /**
   * Returns the time at which the configuration was last confirmed as current.
   *
   * @return local monotonic time in milliseconds; 0 before the first confirmation
   */
  long confirmedAtMs();
}
