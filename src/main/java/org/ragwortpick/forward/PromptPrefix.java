package org.ragwortpick.forward;

import java.util.ArrayList;
import java.util.List;
import org.ragwortpick.policy.PrefixHash;

/**
 * Prefix of a prompt that a request shares with other requests.
 *
 * @param parts ids of the shared parts in order
 * @param hash hash of the ids of the shared parts; 0 if there are none
 * @param tokens number of tokens of the shared parts
 */
record PromptPrefix(List<String> parts, long hash, long tokens) {

  private static final PromptPrefix NONE = new PromptPrefix(List.of(), 0, 0);

  /** Copies the parts. */
  PromptPrefix {
    parts = List.copyOf(parts);
  }

  /**
   * Parses the shared prefix of a prompt.
   *
   * @param header comma-separated parts, each as id and number of tokens separated by a colon, the
   *     request's own part last; null if the request has no such header
   * @return prefix of all parts but the last; a part without an id is not among its parts
   */
  static PromptPrefix parse(String header) {
    int lastComma = header == null ? -1 : header.lastIndexOf(',');
    if (lastComma <= 0) {
      return NONE;
    }
    List<String> ids = new ArrayList<>();
    long tokens = 0;
    for (String part : header.substring(0, lastComma).split(",")) {
      int colon = part.indexOf(':');
      ids.add(colon < 0 ? part.trim() : part.substring(0, colon).trim());
      tokens += colon < 0 ? 0 : parseTokens(part.substring(colon + 1).trim());
    }
    long hash = PrefixHash.of("/" + String.join("/", ids));
    ids.removeIf(String::isEmpty);
    return new PromptPrefix(ids, hash, tokens);
  }

  private static long parseTokens(String text) {
    try {
      return Math.max(0, Long.parseLong(text));
    } catch (NumberFormatException e) {
      // A part with a malformed size is still shared and counts as 0 tokens.
      return 0;
    }
  }
}
