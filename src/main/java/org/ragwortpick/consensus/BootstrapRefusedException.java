package org.ragwortpick.consensus;

import java.io.IOException;

/**
 * Thrown if bootstrap must not format a data folder. The message names the reason and the remedy.
 */
public final class BootstrapRefusedException extends IOException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message reason and remedy
   */
  public BootstrapRefusedException(String message) {
    super(message);
  }
}
