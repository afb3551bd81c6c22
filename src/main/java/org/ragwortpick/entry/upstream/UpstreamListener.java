package org.ragwortpick.entry.upstream;

/**
 * Receiver of the response to one call. Methods are called one after the other; {@link #onEnd} is
 * called last and exactly once.
 */
public interface UpstreamListener {

  /**
   * The status and the headers were received.
   *
   * @param head status and parsed headers
   */
  void onHead(UpstreamHead head);

  /**
   * An event was received. Called only for requests with {@code stream} and status 200.
   *
   * @param event the event
   */
  void onEvent(ServerSentEvent event);

  /**
   * The call ended.
   *
   * @param end end of the call
   */
  void onEnd(UpstreamEnd end);
}
