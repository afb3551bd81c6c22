package org.ragwortpick.control;

/** Outcome of one attempt to send an engine order. */
public enum OrderOutcome {
  /** The engine accepted the order; a later announcement shows the effect. */
  TAKEN,
  /** The engine has seen a higher fencing token, so another leader has sent it orders. */
  TOKEN_OLD,
  /** There was no usable response; the engine may or may not have accepted the order. */
  UNKNOWN
}
