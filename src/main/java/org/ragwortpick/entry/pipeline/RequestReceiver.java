package org.ragwortpick.entry.pipeline;

import org.ragwortpick.entry.RequestResult;

/** Receiver of the tokens and the result of a request. */
public interface RequestReceiver extends TokenReceiver {

  /**
   * Receives the result. Called exactly once, after the last token.
   *
   * @param result the result
   */
  void onEnd(RequestResult result);
}
