package org.ragwortpick.policy.quarantine;

/** Decision whether a request may be sent, by what it contains. */
public sealed interface ContentDecision {

  /** Nothing in it is held back. */
  record Admitted() implements ContentDecision {}

  /**
   * The request may be sent once to find out whether its content still ends upstreams.
   *
   * @param content the content
   */
  record Trial(HeldContent content) implements ContentDecision {}

  /**
   * The request must not be sent.
   *
   * @param content the content that is held back
   */
  record Held(HeldContent content) implements ContentDecision {}
}
