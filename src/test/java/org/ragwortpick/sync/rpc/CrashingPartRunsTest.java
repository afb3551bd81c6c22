package org.ragwortpick.sync.rpc;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a prompt part that ends one upstream after the other while its requests come to
 * all VMs, and against sound parts that are held back in its place.
 */
public final class CrashingPartRunsTest {

  private static final String HARMFUL = "bad";
  private static final long RUN_MS = 30_000;
  private static final int MAX_ARRIVALS_AFTER_FIFTH = 3;
  private static final double HARMFUL_PER_SECOND = 1.5;

  @DataProvider
  public static Object[][] sizes() {
    return new Object[][] {{9, 40}, {66, 2}};
  }

  /** Plays seeds side by side, and names those that failed. */
  static void forEachSeed(int count, Consumer<Long> run) {
    ConcurrentSkipListMap<Long, AssertionError> failures = new ConcurrentSkipListMap<>();
    LongStream.range(0, count)
        .parallel()
        .forEach(
            seed -> {
              try {
                run.accept(seed);
              } catch (AssertionError e) {
                failures.put(seed, e);
              }
            });
    if (!failures.isEmpty()) {
      throw new AssertionError(
          "seeds " + failures.keySet() + " of " + count + " failed",
          failures.firstEntry().getValue());
    }
  }

  /** Sends harmful requests to random VMs at a rate over all VMs. */
  private static Runnable harmful(CrashingFleet fleet, String service, List<String> parts) {
    return () -> {
      if (fleet.vms().chance(HARMFUL_PER_SECOND)) {
        LinkedVms.Vm vm =
            fleet.entryVms().get(fleet.vms().random().nextInt(fleet.entryVms().size()));
        fleet.send(vm, service, parts);
      }
    };
  }

  @Test(dataProvider = "sizes")
  public void harmfulPartIsHeldBackAfterFewCrashes(int entryCount, int seeds) {
    forEachSeed(
        seeds,
        seed -> {
          CrashingFleet.Statistics with = runWithHarmfulPart(seed, entryCount, true);
          CrashingFleet.Statistics without = runWithHarmfulPart(seed, entryCount, false);
          CrashingFleet calm = CrashingFleet.started(seed, entryCount, true);
          calm.runFor(RUN_MS, () -> {});
          if (seed == 0) {
            System.out.printf(
                "%d VMs, seed 0: %d arrivals and %d crashes, sound served %.3f; without the"
                    + " quarantine %d, %d, %.3f; without the part %.3f%n",
                entryCount,
                with.harmfulArrivals(),
                with.crashes(),
                with.soundServedShare(),
                without.harmfulArrivals(),
                without.crashes(),
                without.soundServedShare(),
                calm.statistics().soundServedShare());
          }
          assertTrue(
              with.arrivalsAfterFifthCrash() <= MAX_ARRIVALS_AFTER_FIFTH,
              "seed " + seed + ": " + with.arrivalsAfterFifthCrash() + " arrivals");
          assertTrue(without.crashes() > 2 * MAX_ARRIVALS_AFTER_FIFTH + 5, "seed " + seed);
          assertTrue(
              2 * with.soundServedShare() >= calm.statistics().soundServedShare(),
              "seed " + seed + ": " + with.soundServedShare());
        });
  }

  private static CrashingFleet.Statistics runWithHarmfulPart(
      long seed, int entryCount, boolean quarantined) {
    CrashingFleet fleet = CrashingFleet.started(seed, entryCount, quarantined);
    fleet.setHarmful(HARMFUL, true);
    fleet.runFor(RUN_MS, () -> harmful(fleet, "s1", List.of(fleet.anyFirstPart(), HARMFUL)).run());
    if (quarantined) {
      assertEquals(fleet.held(), Set.of(HARMFUL), "seed " + seed);
    }
    return fleet.statistics();
  }

  @Test
  public void harmfulPartIsFoundAtEachPositionAndOnTwoServices() {
    forEachSeed(
        20,
        seed -> {
          CrashingFleet fleet = CrashingFleet.started(seed, 9, true);
          fleet.setHarmful(HARMFUL, true);
          fleet.runFor(
              RUN_MS,
              () -> {
                harmful(fleet, "s1", List.of(HARMFUL, fleet.anyFirstPart())).run();
                harmful(fleet, "s2", List.of(fleet.anyFirstPart(), HARMFUL, "c")).run();
              });
          assertTrue(
              fleet.statistics().crashes() <= 2 * (5 + MAX_ARRIVALS_AFTER_FIFTH),
              "seed " + seed + ": " + fleet.statistics().crashes());
          assertTrue(fleet.held().contains(HARMFUL), "seed " + seed);
        });
  }

  @Test
  public void twoHarmfulPartsAtOnceAreBothHeldBack() {
    forEachSeed(
        20,
        seed -> {
          CrashingFleet fleet = CrashingFleet.started(seed, 9, true);
          fleet.setHarmful("bad1", true);
          fleet.setHarmful("bad2", true);
          fleet.runFor(
              RUN_MS,
              () -> {
                harmful(fleet, "s1", List.of(fleet.anyFirstPart(), "bad1")).run();
                harmful(fleet, "s1", List.of(fleet.anyFirstPart(), "bad2")).run();
              });
          assertEquals(fleet.held(), Set.of("bad1", "bad2"), "seed " + seed);
          assertTrue(
              fleet.statistics().crashes() <= 2 * (5 + MAX_ARRIVALS_AFTER_FIFTH),
              "seed " + seed + ": " + fleet.statistics().crashes());
        });
  }

  @Test
  public void requestWithOneOfTwoPartsThatAlwaysComeTogetherIsAdmitted() {
    forEachSeed(
        20,
        seed -> {
          CrashingFleet fleet = CrashingFleet.started(seed, 9, true);
          fleet.setHarmful(HARMFUL, true);
          fleet.runFor(RUN_MS, harmful(fleet, "s1", List.of("rare", HARMFUL)));
          assertTrue(fleet.held().contains(HARMFUL), "seed " + seed);
          fleet.entryVms().forEach(vm -> assertTrue(fleet.send(vm, "s1", List.of("rare", "b1"))));
          fleet.runFor(RUN_MS, () -> {});
          assertEquals(fleet.held(), Set.of(HARMFUL), "seed " + seed);
        });
  }

  @Test
  public void upstreamsThatEndForAnotherReasonBlameNobody() {
    forEachSeed(
        Integer.getInteger("crash.seeds", 40),
        seed -> {
          CrashingFleet fleet = CrashingFleet.started(seed, 9, true);
          fleet.runFor(
              2 * RUN_MS,
              () -> {
                if (fleet.vms().chance(0.25)) {
                  fleet.endTogether(fleet.vms().random().nextDouble());
                }
                if (fleet.vms().chance(1)) {
                  fleet.breakOneResponse();
                }
                assertEquals(fleet.held(), Set.of(), "seed " + seed);
              });
        });
  }

  @Test
  public void restartedVmKnowsHeldPartBeforeItSends() {
    forEachSeed(
        20,
        seed -> {
          CrashingFleet fleet = CrashingFleet.started(seed, 9, true);
          fleet.setHarmful(HARMFUL, true);
          fleet.runFor(RUN_MS, harmful(fleet, "s1", List.of(fleet.anyFirstPart(), HARMFUL)));
          LinkedVms.Vm vm = fleet.entryVms().get(0);
          vm.kill();
          vm.start();
          int arrivals = fleet.statistics().harmfulArrivals();
          fleet.runFor(CrashingFleet.START_MS, () -> fleet.send(vm, "s1", List.of("a0", HARMFUL)));
          assertEquals(fleet.statistics().harmfulArrivals(), arrivals, "seed " + seed);
        });
  }

  @Test
  public void harmlessPartIsServedAgainAndHarmfulOneTriedRarely() {
    forEachSeed(
        4,
        seed -> {
          CrashingFleet fleet = CrashingFleet.started(seed, 9, true);
          fleet.setHarmful(HARMFUL, true);
          Runnable requests = harmful(fleet, "s1", List.of("a0", HARMFUL));
          fleet.runFor(RUN_MS, requests);
          fleet.runFor(1_200_000, requests);
          int arrivals = fleet.statistics().arrivalsAfterFifthCrash();
          assertTrue(arrivals <= MAX_ARRIVALS_AFTER_FIFTH, "seed " + seed + ": " + arrivals);
          fleet.setHarmful(HARMFUL, false);
          fleet.runFor(4_200_000, requests);
          assertEquals(fleet.held(), Set.of(), "seed " + seed);
        });
  }
}
