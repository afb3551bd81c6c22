package org.ragwortpick.ledger;

import static org.testng.Assert.assertEquals;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;

/** Guards against dropped keys that are forgotten, which would let their calls run again. */
public final class DigestSetTest {

  @Test
  public void agreesWithAHashSet() {
    for (int seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      // Few distinct values make equal parts and collisions likely.
      int range = 1 + random.nextInt(60);
      DigestSet set = new DigestSet();
      Set<KeyDigest> expected = new HashSet<>();
      for (int i = 0; i < 500; i++) {
        KeyDigest digest = new KeyDigest(random.nextInt(range), 1 + random.nextInt(range));
        KeyDigest other = new KeyDigest(random.nextInt(range), 1 + random.nextInt(range));
        set.add(digest);
        expected.add(digest);
        assertEquals(set.contains(other), expected.contains(other), "seed " + seed);
      }
      assertEquals(set.size(), expected.size(), "seed " + seed);
      DroppedKeys copy = new DroppedKeys();
      copy.restore(1, set.encode());
      assertEquals(copy.size(), expected.size(), "seed " + seed);
      DigestSet restored = copy.days().get(1L);
      expected.forEach(digest -> assertEquals(restored.contains(digest), true));
    }
  }

  @Test
  public void holdsTheDigestOfZeros() {
    DigestSet set = new DigestSet();
    set.add(new KeyDigest(0, 0));
    assertEquals(set.contains(new KeyDigest(0, 0)), true);
    assertEquals(set.size(), 1);
  }
}
