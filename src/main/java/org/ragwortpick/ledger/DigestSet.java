package org.ragwortpick.ledger;

import java.nio.ByteBuffer;

/**
 * Set of key digests in one array with open addressing. It takes 24 to 48 bytes per digest, where a
 * hash map of objects takes more than 100.
 */
final class DigestSet {

  private static final int INITIAL_SLOTS = 16;

  /** Two longs per slot; a free slot holds two zeros. */
  private long[] slots = new long[2 * INITIAL_SLOTS];

  private int size;

  /**
   * Adds a digest.
   *
   * @param digest the digest; the digest of zeros only, which no key is known to have, is taken for
   *     the digest with low part 1
   */
  void add(KeyDigest digest) {
    // At most two of three slots are used, so that a search ends soon.
    if (3 * (size + 1) > slots.length) {
      grow();
    }
    if (insert(slots, digest.high(), lowOf(digest))) {
      size++;
    }
  }

  /**
   * Tells whether a digest is in the set.
   *
   * @param digest the digest
   * @return true if it was added
   */
  boolean contains(KeyDigest digest) {
    int slot = find(slots, digest.high(), lowOf(digest));
    return !isFree(slots, slot);
  }

  /**
   * Returns the number of digests.
   *
   * @return the number
   */
  int size() {
    return size;
  }

  /**
   * Encodes the set.
   *
   * @return 16 bytes per digest
   */
  ByteBuffer encode() {
    ByteBuffer bytes = ByteBuffer.allocate(size * KeyDigest.BYTES);
    for (int slot = 0; slot < slots.length; slot += 2) {
      if (!isFree(slots, slot)) {
        bytes.putLong(slots[slot]).putLong(slots[slot + 1]);
      }
    }
    return bytes.flip();
  }

  private static long lowOf(KeyDigest digest) {
    return digest.high() == 0 && digest.low() == 0 ? 1 : digest.low();
  }

  private static boolean isFree(long[] slots, int slot) {
    return slots[slot] == 0 && slots[slot + 1] == 0;
  }

  /** Finds the slot of a digest, or the free slot where it belongs. */
  private static int find(long[] slots, long high, long low) {
    int mask = slots.length - 1;
    // A digest is evenly distributed, so its own bits serve as the hash.
    int slot = (int) (low << 1) & mask;
    while (!isFree(slots, slot) && (slots[slot] != high || slots[slot + 1] != low)) {
      slot = (slot + 2) & mask;
    }
    return slot;
  }

  private static boolean insert(long[] slots, long high, long low) {
    int slot = find(slots, high, low);
    boolean free = isFree(slots, slot);
    slots[slot] = high;
    slots[slot + 1] = low;
    return free;
  }

  private void grow() {
    long[] larger = new long[2 * slots.length];
    for (int slot = 0; slot < slots.length; slot += 2) {
      if (!isFree(slots, slot)) {
        insert(larger, slots[slot], slots[slot + 1]);
      }
    }
    slots = larger;
  }
}
