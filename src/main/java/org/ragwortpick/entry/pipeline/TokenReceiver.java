package org.ragwortpick.entry.pipeline;

/** Receiver of the tokens of a stage, in order and without gaps. */
public interface TokenReceiver {

  /**
   * Receives the next token.
   *
   * @param offset offset of the token, from 0
   * @param text text of the token
   */
  void onToken(int offset, String text);
}
