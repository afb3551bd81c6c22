package org.ragwortpick.consensus.storage;

import java.io.IOException;

/** Thrown if durable data is damaged or missing. The message names the remedy. */
public final class CorruptDataFolderException extends IOException {

  private static final long serialVersionUID = 1L;

  private static final String REMEDY =
      "; move the data folder away and start the VM with an empty one, it then rejoins with a new"
          + " identity and receives the data from the other control VMs";

  /**
   * Creates the exception.
   *
   * @param damage description of the damage
   */
  public CorruptDataFolderException(String damage) {
    super(damage + REMEDY);
  }
}
