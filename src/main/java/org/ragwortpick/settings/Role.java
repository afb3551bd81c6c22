package org.ragwortpick.settings;

import java.util.Locale;

/** Role of a process. */
public enum Role {
  /** Serves callers and takes the announcements of upstreams. */
  ENTRY,
  /** Takes part in consensus; needs a data folder. */
  CONTROL;

  /**
   * Returns the text used in settings files.
   *
   * @return the name in lower case
   */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
