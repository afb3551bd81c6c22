package org.ragwortpick.policy.select;

/** Scores of rendezvous hashing: the holder of a key is the member with the highest score. */
public final class Rendezvous {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long MIX = 0xff51afd7ed558ccdL;
  private static final int MIX_SHIFT = 33;

  private Rendezvous() {}

  /**
   * Scores a member for a key.
   *
   * @param key the key
   * @param member name of the member
   * @return the score, the same on all VMs
   */
  public static long score(String key, String member) {
    long hash = FNV_OFFSET;
    hash = add(hash, key);
    hash = (hash ^ Character.MAX_VALUE) * FNV_PRIME;
    hash = add(hash, member);
    hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX;
    return hash ^ (hash >>> MIX_SHIFT);
  }

  private static long add(long seed, String text) {
    long hash = seed;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }
}
