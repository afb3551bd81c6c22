package org.ragwortpick.policy.select;

/** Scores for rendezvous hashing: a key is assigned to the member with the highest score. */
public final class Rendezvous {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long MIX_MULTIPLIER = 0xff51afd7ed558ccdL;
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
    hash = addCharacters(hash, key);
    // Separates the key from the member, so that "ab" and "c" do not hash like "a" and "bc".
    hash = (hash ^ Character.MAX_VALUE) * FNV_PRIME;
    hash = addCharacters(hash, member);
    hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_MULTIPLIER;
    return hash ^ (hash >>> MIX_SHIFT);
  }

  private static long addCharacters(long seed, String text) {
    long hash = seed;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }
}
