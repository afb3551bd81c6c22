package org.ragwortpick.sync.directory;

import java.util.Comparator;

/**
 * Logical time of the decisions and grants of leaders.
 *
 * @param term term of the leader
 * @param number number that increases within the term
 */
public record Stamp(long term, long number) implements Comparable<Stamp> {

  /** Stamp older than all others. */
  public static final Stamp NONE = new Stamp(0, 0);

  private static final Comparator<Stamp> ORDER =
      Comparator.comparingLong(Stamp::term).thenComparingLong(Stamp::number);

  @Override
  public int compareTo(Stamp other) {
    return ORDER.compare(this, other);
  }
}
