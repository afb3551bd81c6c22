package org.ragwortpick.forward;

import java.util.List;
import org.ragwortpick.policy.PrefixHash;

/** Parts of a prompt that a request shares with others. */
final class PromptPrefix {

  private PromptPrefix() {}

  /**
   * Hashes the shared part of a prompt.
   *
   * @param header parts as id and number of tokens, the request's own part last; null for none
   * @return hash of all parts but the last; 0 if nothing is shared
   */
  static long sharedHash(String header) {
    int lastPart = header == null ? -1 : header.lastIndexOf(',');
    return lastPart <= 0 ? 0 : PrefixHash.of(idsOf(header.substring(0, lastPart)));
  }

  private static String idsOf(String parts) {
    return List.of(parts.split(",")).stream()
        .map(part -> part.split(":", 2)[0].trim())
        .reduce("", (ids, id) -> ids + "/" + id);
  }
}
