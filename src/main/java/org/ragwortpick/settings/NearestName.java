package org.ragwortpick.settings;

import java.util.Collection;

/** Finds the valid name that is most similar to a misspelt one. */
final class NearestName {

  /** Names with a larger Levenshtein distance are not suggested. */
  private static final int MAX_EDIT_DISTANCE = 3;

  private NearestName() {}

  /**
   * Finds the candidate with the smallest Levenshtein distance to a name.
   *
   * @param name misspelt name
   * @param candidates valid names
   * @return the nearest name; empty if none is similar
   */
  static String find(String name, Collection<String> candidates) {
    String nearest = "";
    int bestDistance = MAX_EDIT_DISTANCE + 1;
    for (String candidate : candidates) {
      int distance = editDistance(name, candidate);
      if (distance < bestDistance) {
        bestDistance = distance;
        nearest = candidate;
      }
    }
    return nearest;
  }

  private static int editDistance(String a, String b) {
    int[] previous = new int[b.length() + 1];
    for (int j = 0; j <= b.length(); j++) {
      previous[j] = j;
    }
    for (int i = 1; i <= a.length(); i++) {
      int[] current = new int[b.length() + 1];
      current[0] = i;
      for (int j = 1; j <= b.length(); j++) {
        int substitution = previous[j - 1] + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
        current[j] = Math.min(substitution, 1 + Math.min(previous[j], current[j - 1]));
      }
      previous = current;
    }
    return previous[b.length()];
  }
}
