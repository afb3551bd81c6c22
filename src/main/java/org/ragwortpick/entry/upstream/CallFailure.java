package org.ragwortpick.entry.upstream;

/** End of a call without a complete response. */
public sealed interface CallFailure extends HttpEnd, UpstreamEnd {

  /**
   * No connection could be opened, so nothing was sent.
   *
   * @param cause description of the connect failure
   */
  record NotConnected(String cause) implements CallFailure {}

  /** The permit of the request was denied, so nothing was sent. */
  record NotPermitted() implements CallFailure {}

  /**
   * The connection failed or the response was not usable. The upstream may have run the request.
   *
   * @param sign what showed that the response is incomplete or not usable
   * @param cause description of the failure
   */
  record Broken(Sign sign, String cause) implements CallFailure {

    /** What showed that a response is incomplete or not usable. */
    public enum Sign {
      /**
       * The connection was reset, or ended before the head, the stated length or the last chunk.
       * The HTTP client reports bytes that are no HTTP in the same way.
       */
      CONNECTION,
      /** The event stream ended inside an event. */
      INSIDE_EVENT,
      /** A successful response that ends with its connection had no byte of a body. */
      EMPTY_BODY,
      /** A body that ends with its connection is not one whole JSON value. */
      PARTIAL_JSON,
      /** The response is too large, has an unknown coding, or was rejected by its receiver. */
      UNUSABLE
    }
  }

  /** No byte arrived within the progress timeout. The upstream may have run the request. */
  record TimedOut() implements CallFailure {}

  /** The call was aborted locally. The upstream may have run the request. */
  record Aborted() implements CallFailure {}

  @Override
  default boolean nothingSent() {
    return this instanceof NotConnected || this instanceof NotPermitted;
  }
}
