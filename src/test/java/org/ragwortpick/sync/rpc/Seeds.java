package org.ragwortpick.sync.rpc;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.LongConsumer;
import java.util.stream.LongStream;

/** Runs a test with fixed seeds; the property {@code sync.seed} selects a single one. */
final class Seeds {

  static final long COUNT = Long.getLong("sync.seeds", 500);
  private static final Long SINGLE = Long.getLong("sync.seed");

  private Seeds() {}

  /** Runs all seeds and fails with the lowest failing one. */
  static void forEach(LongConsumer run) {
    forEach(COUNT, run);
  }

  /** Runs a number of seeds and fails with the lowest failing one. */
  static void forEach(long count, LongConsumer run) {
    ConcurrentSkipListMap<Long, Throwable> failures = new ConcurrentSkipListMap<>();
    LongStream seeds = SINGLE == null ? LongStream.range(0, count) : LongStream.of(SINGLE);
    seeds
        .parallel()
        .forEach(
            seed -> {
              try {
                run.accept(seed);
              } catch (AssertionError | RuntimeException e) {
                failures.put(seed, e);
              }
            });
    if (!failures.isEmpty()) {
      throw new AssertionError(
          failures.size() + " seeds failed; the lowest is " + failures.firstKey(),
          failures.firstEntry().getValue());
    }
    assertTrue(count > 0, "no seeds were run");
  }
}
