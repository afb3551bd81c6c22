package org.ragwortpick.ledger;

/** What an entry VM does next for a non-idempotent call. */
public sealed interface DispatchStep {

  /**
   * Sends a request to begin.
   *
   * @param request the request
   */
  record Begin(BeginRequest request) implements DispatchStep {}

  /**
   * Opens a connection to an upstream and asks {@link DispatchAttempt#tryDispatch} just before it
   * writes the first byte.
   */
  record Dispatch() implements DispatchStep {}

  /**
   * Reports an outcome.
   *
   * @param request the outcome
   */
  record Finish(FinishRequest request) implements DispatchStep {}

  /** Reads the status again until another attempt has an outcome or the deadline is over. */
  record AwaitOutcome() implements DispatchStep {}

  /**
   * Answers the caller. Nothing else follows.
   *
   * @param answer the answer
   */
  record Answer(CallerAnswer answer) implements DispatchStep {}
}
