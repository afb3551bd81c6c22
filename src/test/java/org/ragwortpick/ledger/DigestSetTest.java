package org.ragwortpick.ledger;

import static org.testng.Assert.assertEquals;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;

/** Guards against lost digests of dropped keys, which would allow their calls to run again. */
public final class DigestSetTest {

  @Test
  public void matchesHashSet() {
    for (int seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      // Few distinct values make equal halves and collisions likely.
      int range = 1 + random.nextInt(60);
      DigestSet set = new DigestSet();
      Set<KeyDigest> expected = new HashSet<>();
      for (int i = 0; i < 500; i++) {
        KeyDigest digest = new KeyDigest(random.nextInt(range), 1 + random.nextInt(range));
        KeyDigest probe = new KeyDigest(random.nextInt(range), 1 + random.nextInt(range));
        set.add(digest);
        expected.add(digest);
        assertEquals(set.contains(probe), expected.contains(probe), "seed " + seed);
      }
      assertEquals(set.size(), expected.size(), "seed " + seed);
      DroppedKeys copy = new DroppedKeys();
      copy.restore(1, set.encode());
      assertEquals(copy.size(), expected.size(), "seed " + seed);
      DigestSet restored = copy.digestsByDay().get(1L);
      expected.forEach(digest -> assertEquals(restored.contains(digest), true));
    }
  }

  @Test
  public void containsZeroDigest() {
    DigestSet set = new DigestSet();
    set.add(new KeyDigest(0, 0));
    assertEquals(set.contains(new KeyDigest(0, 0)), true);
    assertEquals(set.size(), 1);
  }
}
