package org.ragwortpick.consensus.storage;

import java.io.IOException;

/** Data that was durable is damaged or missing. The message names the remedy. */
public final class CorruptDataFolderException extends IOException {

  private static final long serialVersionUID = 1L;

  private static final String REMEDY =
      "; move the data folder away and start the VM with an empty one, it then joins again with a"
          + " new identity and receives the data from the other control VMs";

  /**
   * Creates the exception.
   *
   * @param damage what is damaged
   */
  public CorruptDataFolderException(String damage) {
    super(damage + REMEDY);
  }
}
