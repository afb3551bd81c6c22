package org.ragwortpick.entry.pipeline;

import org.ragwortpick.entry.RequestResult;

/** Receiver of the answer of a request. */
public interface RequestReceiver extends TokenReceiver {

  /**
   * Takes the end of the request. Called exactly once and last.
   *
   * @param result the end
   */
  void onEnd(RequestResult result);
}
