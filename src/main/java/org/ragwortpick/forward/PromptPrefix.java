package org.ragwortpick.forward;

import org.ragwortpick.policy.PrefixHash;

/**
 * Parts of a prompt that a request shares with others.
 *
 * @param hash hash of the ids of the shared parts; 0 if nothing is shared
 * @param tokens number of tokens of the shared parts
 */
record PromptPrefix(long hash, long tokens) {

  private static final PromptPrefix NONE = new PromptPrefix(0, 0);

  /**
   * Reads the shared part of a prompt.
   *
   * @param header parts as id and number of tokens, the request's own part last; null for none
   * @return all parts but the last
   */
  static PromptPrefix parse(String header) {
    int lastPart = header == null ? -1 : header.lastIndexOf(',');
    if (lastPart <= 0) {
      return NONE;
    }
    StringBuilder ids = new StringBuilder();
    long tokens = 0;
    for (String part : header.substring(0, lastPart).split(",")) {
      int colon = part.indexOf(':');
      ids.append('/').append(colon < 0 ? part.trim() : part.substring(0, colon).trim());
      tokens += colon < 0 ? 0 : number(part.substring(colon + 1).trim());
    }
    return new PromptPrefix(PrefixHash.of(ids.toString()), tokens);
  }

  private static long number(String text) {
    try {
      return Math.max(0, Long.parseLong(text));
    } catch (NumberFormatException e) {
      // A part without a readable size is still shared; it only weighs nothing.
      return 0;
    }
  }
}
