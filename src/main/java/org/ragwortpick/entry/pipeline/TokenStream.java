package org.ragwortpick.entry.pipeline;

import org.ragwortpick.entry.Invariants;

/** Delivers the tokens of a stage in order and keeps their text. */
final class TokenStream {

  private final TokenReceiver receiver;
  private final StringBuilder text = new StringBuilder();
  private int count;

  /**
   * Creates an empty stream.
   *
   * @param receiver receiver of the tokens
   */
  TokenStream(TokenReceiver receiver) {
    this.receiver = receiver;
  }

  /**
   * Delivers a token.
   *
   * @param offset offset of the token
   * @param token text of the token
   * @throws IllegalStateException if the token does not follow the last one
   */
  void deliver(int offset, String token) {
    Invariants.check(offset == count, "a token was delivered out of order");
    count++;
    text.append(token);
    receiver.onToken(offset, token);
  }

  /**
   * Returns the number of delivered tokens.
   *
   * @return the number
   */
  int count() {
    return count;
  }

  /**
   * Returns the delivered text.
   *
   * @return the text
   */
  String text() {
    return text.toString();
  }
}
