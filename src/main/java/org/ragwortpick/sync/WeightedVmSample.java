package org.ragwortpick.sync;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Selects VMs for a caller, each with a probability in proportion to its weight. The caller picks
 * one of them at random for each connection, so over all callers a VM gets connections in
 * proportion to its weight.
 *
 * <p>Each VM has a place on a circle that callers with similar addresses share, and the caller
 * rotates the circle by a multiple of the golden ratio. A VM is selected if it lies within the arc
 * of its probability. Whether it is selected depends on no other VM except by the sum of the
 * weights, so the selection changes little when VMs come and go; and the rotation spreads even a
 * few callers with consecutive addresses evenly.
 */
final class WeightedVmSample {

  /** Expected number of VMs below which equal load comes second to failover. */
  private static final int MIN_EXPECTED = 8;

  /** Smallest number of VMs, if there are as many. */
  private static final int MIN_SELECTED = 4;

  /**
   * Largest expected number of VMs as a part of the limit. The number that is selected varies
   * around it, and the limit must rarely cut a selection off.
   */
  private static final double MAX_EXPECTED_PART = 0.75;

  /** Callers whose hashes differ only in these bits share a circle. */
  private static final int CIRCLE_BITS = 8;

  /** The golden ratio as a fraction of 2 to the power of 64. */
  private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;

  private static final long MIX_MULTIPLIER = 0xff51afd7ed558ccdL;
  private static final int MIX_SHIFT = 33;
  private static final int FRACTION_BITS = 53;

  private WeightedVmSample() {}

  /**
   * Selects VMs.
   *
   * @param caller name or address of the caller
   * @param vms VMs to select from
   * @param weight positive weight of a VM
   * @param limit largest number of VMs
   * @return selected VMs, each at most once
   */
  static List<VmRecord> select(
      String caller, List<VmRecord> vms, ToDoubleFunction<VmRecord> weight, int limit) {
    double[] weights = vms.stream().mapToDouble(weight).toArray();
    double factor = probabilityFactor(weights, limit);
    List<Ranked> ranked =
        vms.stream()
            .map(
                vm ->
                    new Ranked(
                        vm,
                        place(caller, vm.vm()) / Math.min(1, factor * weight.applyAsDouble(vm))))
            .sorted(Comparator.comparingDouble(Ranked::rank))
            .toList();
    long selected = ranked.stream().filter(vm -> vm.rank < 1).count();
    return ranked.stream()
        .limit(Math.min(limit, Math.max(MIN_SELECTED, selected)))
        .map(Ranked::vm)
        .toList();
  }

  /**
   * Returns the probability per unit of weight. The largest VM is selected always, unless this
   * would select too many or too few VMs.
   */
  private static double probabilityFactor(double[] weights, int limit) {
    double sum = 0;
    double max = 0;
    for (double weight : weights) {
      sum += weight;
      max = Math.max(max, weight);
    }
    double expected =
        Math.max(
            Math.min(MIN_EXPECTED, weights.length), Math.min(MAX_EXPECTED_PART * limit, sum / max));
    double factor = expected / sum;
    // No probability exceeds 1, so the VMs below share what those above cannot take.
    int capped = 0;
    int cappedBefore = -1;
    while (capped != cappedBefore && capped < weights.length) {
      cappedBefore = capped;
      capped = 0;
      double uncappedSum = 0;
      for (double weight : weights) {
        boolean isCapped = factor * weight >= 1;
        capped += isCapped ? 1 : 0;
        uncappedSum += isCapped ? 0 : weight;
      }
      factor = uncappedSum > 0 ? Math.max(factor, (expected - capped) / uncappedSum) : factor;
    }
    return factor;
  }

  /** Returns the place of a VM on the circle of a caller, from 0 to below 1. */
  private static double place(String caller, String vm) {
    long circle = (caller.hashCode() >>> CIRCLE_BITS) * GOLDEN_RATIO;
    long rotated = mix(vm.hashCode() + circle) + caller.hashCode() * GOLDEN_RATIO;
    return (rotated >>> (Long.SIZE - FRACTION_BITS)) / (double) (1L << FRACTION_BITS);
  }

  private static long mix(long hash) {
    long mixed = hash * MIX_MULTIPLIER;
    mixed = (mixed ^ (mixed >>> MIX_SHIFT)) * MIX_MULTIPLIER;
    return mixed ^ (mixed >>> MIX_SHIFT);
  }

  private record Ranked(VmRecord vm, double rank) {}
}
