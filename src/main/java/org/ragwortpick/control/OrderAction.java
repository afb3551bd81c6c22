package org.ragwortpick.control;

/** Action that an engine order requests. */
public enum OrderAction {
  /** Load a model version in place of the present one. */
  LOAD_MODEL,
  /** Load an adapter beside the model. */
  LOAD_ADAPTER,
  /** Change the role of the engine. */
  SET_ROLE
}
