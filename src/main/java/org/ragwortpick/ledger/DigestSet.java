package org.ragwortpick.ledger;

import java.nio.ByteBuffer;

/**
 * Hash set of key digests with open addressing in one array. It needs 24 to 48 bytes per digest; a
 * hash map of objects needs more than 100.
 */
final class DigestSet {

  private static final int INITIAL_SLOTS = 16;

  /** Two longs per slot; both are 0 in a free slot. */
  private long[] slots = new long[2 * INITIAL_SLOTS];

  private int size;

  /**
   * Adds a digest.
   *
   * @param digest the digest; the all-zero digest, which no key is known to have, is treated as the
   *     digest with low part 1
   */
  void add(KeyDigest digest) {
    // The load factor is at most 2/3, which keeps probe sequences short.
    if (3 * (size + 1) > slots.length) {
      grow();
    }
    if (insert(slots, digest.high(), nonZeroLow(digest))) {
      size++;
    }
  }

  /**
   * Returns whether the set contains a digest.
   *
   * @param digest the digest
   * @return true if the digest was added
   */
  boolean contains(KeyDigest digest) {
    int slot = findSlot(slots, digest.high(), nonZeroLow(digest));
    return !isFree(slots, slot);
  }

  /**
   * Returns the size of the set.
   *
   * @return number of digests
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

  private static long nonZeroLow(KeyDigest digest) {
    return digest.high() == 0 && digest.low() == 0 ? 1 : digest.low();
  }

  private static boolean isFree(long[] slots, int slot) {
    return slots[slot] == 0 && slots[slot + 1] == 0;
  }

  /** Returns the slot of a digest, or the free slot into which to insert it. */
  private static int findSlot(long[] slots, long high, long low) {
    int mask = slots.length - 1;
    // Digests are evenly distributed, so their low bits serve as the hash.
    int slot = (int) (low << 1) & mask;
    while (!isFree(slots, slot) && (slots[slot] != high || slots[slot + 1] != low)) {
      slot = (slot + 2) & mask;
    }
    return slot;
  }

  private static boolean insert(long[] slots, long high, long low) {
    int slot = findSlot(slots, high, low);
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
