package org.ragwortpick.config;

/** Administrative state of a data centre; {@code data-centre.json} defines the transitions. */
public enum DataCentreState {
  /** Receives work. */
  IN,
  /** Receives work while the other data centres load the models that will replace it. */
  PREPARING,
  /** Receives no new work. */
  OUT,
  /** Receives work at the rate of a cold start. */
  RETURNING
}
