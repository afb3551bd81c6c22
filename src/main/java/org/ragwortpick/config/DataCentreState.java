package org.ragwortpick.config;

/** Administrative state of a data centre; the transitions stand in {@code data-centre.json}. */
public enum DataCentreState {
  /** Takes work. */
  IN,
  /** Takes work while the other data centres load what they will need. */
  PREPARING,
  /** Takes no new work. */
  OUT,
  /** Takes work at the rate of a cold start. */
  RETURNING
}
