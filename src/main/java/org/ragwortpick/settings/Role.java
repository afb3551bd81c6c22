package org.ragwortpick.settings;

import java.util.Locale;

/** Role of a process. */
public enum Role {
  /** Serves callers and receives the announcements of upstreams. */
  ENTRY,
  /** Participates in consensus; requires a data folder. */
  CONTROL;

  /**
   * Returns the value used in settings files.
   *
   * @return the name in lower case
   */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
