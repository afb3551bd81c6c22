package org.ragwortpick.control;

/** What became of one sending of an order. */
public enum OrderOutcome {
  /** The engine took the order; its announcement shows the effect later. */
  TAKEN,
  /** The engine knows a higher fencing token, so another leader has given it orders. */
  TOKEN_OLD,
  /** There was no usable answer; the engine may or may not have taken the order. */
  UNKNOWN
}
