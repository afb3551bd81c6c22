package org.ragwortpick.settings;

import java.util.function.BooleanSupplier;

/** Setting that decides when requests are admitted and ordered by their whole path. */
public enum OverloadControl {
  /** Never. */
  OFF,
  /** Always. */
  ON,
  /** While upstreams of the deployment report the time that work takes. */
  AUTO;

  /**
   * Returns whether overload control is in force.
   *
   * @param workTimesReported whether upstreams report the time that work takes
   * @return supplier that is asked before each decision
   */
  public BooleanSupplier inForce(BooleanSupplier workTimesReported) {
    return () -> this == ON || this == AUTO && workTimesReported.getAsBoolean();
  }
}
