package org.ragwortpick.policy.quarantine;

/** Decision whether a request may be sent, by the shared parts of its prompt. */
public sealed interface PartDecision {

  /** No part of the prompt is held back. */
  record Admitted() implements PartDecision {}

  /**
   * The request may be sent once to find out whether a part still ends upstreams.
   *
   * @param part the part
   */
  record Trial(HeldPart part) implements PartDecision {}

  /**
   * The request must not be sent.
   *
   * @param part the part that is held back
   */
  record Held(HeldPart part) implements PartDecision {}
}
