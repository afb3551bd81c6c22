package org.ragwortpick.settings;

import java.util.Collection;

/** Finds the known name that is most similar to a misspelt one. */
final class NearestName {

  /** Names that differ in more characters than this are not offered. */
  private static final int MAX_DISTANCE = 3;

  private NearestName() {}

  /**
   * Finds the most similar name.
   *
   * @param name misspelt name
   * @param known names to choose from
   * @return the nearest name; empty if none is similar
   */
  static String find(String name, Collection<String> known) {
    String nearest = "";
    int best = MAX_DISTANCE + 1;
    for (String candidate : known) {
      int distance = distance(name, candidate);
      if (distance < best) {
        best = distance;
        nearest = candidate;
      }
    }
    return nearest;
  }

  private static int distance(String a, String b) {
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
