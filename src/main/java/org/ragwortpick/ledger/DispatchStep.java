package org.ragwortpick.ledger;

/** Next step of an entry VM for a non-idempotent call. */
public sealed interface DispatchStep {

  /**
   * Sends a begin request.
   *
   * @param request the request
   */
  record Begin(BeginRequest request) implements DispatchStep {}

  /**
   * Connects to an upstream and calls {@link DispatchAttempt#tryDispatch} immediately before
   * writing the first byte.
   */
  record Dispatch() implements DispatchStep {}

  /**
   * Reports an outcome.
   *
   * @param request the outcome
   */
  record Finish(FinishRequest request) implements DispatchStep {}

  /** Polls the status until another attempt has an outcome or the deadline expires. */
  record AwaitOutcome() implements DispatchStep {}

  /**
   * Sends the response to the caller. This is the last step.
   *
   * @param response the response
   */
  record Respond(CallerResponse response) implements DispatchStep {}
}
