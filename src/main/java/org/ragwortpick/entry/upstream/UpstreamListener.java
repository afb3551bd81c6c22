package org.ragwortpick.entry.upstream;

/**
 * Receiver of the progress of one call. Methods are called one after the other; {@link #onEnd} is
 * the last one and is called exactly once.
 */
public interface UpstreamListener {

  /**
   * Takes the status and the headers.
   *
   * @param head status and headers
   */
  void onHead(UpstreamHead head);

  /**
   * Takes an event of a stream. Called only for requests with {@code stream} and status 200.
   *
   * @param event the event
   */
  void onEvent(ServerSentEvent event);

  /**
   * Takes the end of the call.
   *
   * @param end how the call ended
   */
  void onEnd(UpstreamEnd end);
}
