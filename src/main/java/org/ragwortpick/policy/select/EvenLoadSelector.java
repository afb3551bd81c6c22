package org.ragwortpick.policy.select;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.SelectionRequest;
import org.ragwortpick.policy.UpstreamSelector;

/**
 * Selects at random, with probabilities that make the expected loads even.
 *
 * <p>Addresses many VMs that select by reports of the same age. The expected requests of all of
 * them are distributed over the candidates in proportion to their slots and speed, the least loaded
 * first, up to a common level. With fresh reports this selects the least loaded candidate. With
 * many requests since the reports, it selects in proportion to speed. Equal numbers of requests per
 * slot divide the work in proportion to speed, because a slow upstream holds each request for
 * longer.
 *
 * <p>A request with a prompt prefix goes to the engine of the prefix, and one with inputs to a
 * candidate in their data centre, while these exceed the common level by at most a margin.
 */
public final class EvenLoadSelector implements UpstreamSelector {

  private final double margin;
  private final RandomGenerator random;

  /**
   * Creates a selector.
   *
   * @param margin load, as a fraction of the slots, by which the engine of a prefix or the data
   *     centre of the inputs may exceed the common level
   * @param random source of random numbers; confined to the thread of the selector
   */
  public EvenLoadSelector(double margin, RandomGenerator random) {
    this.margin = margin;
    this.random = random;
  }

  @Override
  public Optional<Candidate> select(SelectionRequest request, List<Candidate> candidates) {
    List<Candidate> suitable = new ArrayList<>(candidates.size());
    List<Candidate> withInputs = new ArrayList<>();
    boolean preferInputs =
        !request.dataCentre().isEmpty()
            && request.prefixTokens() < RendezvousAffinitySelector.LARGE_PREFIX_TOKENS;
    for (Candidate candidate : candidates) {
      if (candidate.isAvailable() && !request.excludedIds().contains(candidate.upstream().id())) {
        suitable.add(candidate);
        if (preferInputs && candidate.upstream().dataCentre().equals(request.dataCentre())) {
          withInputs.add(candidate);
        }
      }
    }
    if (suitable.isEmpty()) {
      return Optional.empty();
    }
    double level = level(suitable);
    double maxLevel = level + margin;
    List<Candidate> preferred = suitable;
    if (!withInputs.isEmpty()) {
      double levelWithInputs = level(withInputs);
      if (levelWithInputs <= maxLevel) {
        preferred = withInputs;
        level = levelWithInputs;
      }
    }
    Optional<Candidate> engine = engineOfPrefix(request, preferred, maxLevel);
    return engine.isPresent() ? engine : Optional.of(pickBelow(level, preferred));
  }

  private static Optional<Candidate> engineOfPrefix(
      SelectionRequest request, List<Candidate> candidates, double maxLevel) {
    if (request.prefixHash() == 0) {
      return Optional.empty();
    }
    String key = Long.toHexString(request.prefixHash());
    return candidates.stream()
        .filter(candidate -> LoadScore.of(candidate) <= maxLevel)
        .max(
            Comparator.comparingLong(
                candidate -> Rendezvous.score(key, candidate.upstream().id())));
  }

  /** Computes the load per slot that all candidates up to it reach by the expected requests. */
  private static double level(List<Candidate> candidates) {
    Candidate[] byLoad = candidates.toArray(new Candidate[0]);
    Arrays.sort(byLoad, Comparator.comparingDouble(EvenLoadSelector::loadPerSlot));
    double sum = 1;
    for (Candidate candidate : byLoad) {
      sum += candidate.unseenRequests();
    }
    double slots = 0;
    double level = 0;
    for (Candidate candidate : byLoad) {
      if (slots > 0 && loadPerSlot(candidate) >= level) {
        break;
      }
      sum += candidate.expectedLoad() - candidate.unseenRequests();
      slots += LoadScore.slots(candidate);
      level = sum / slots;
    }
    return level;
  }

  private static double loadPerSlot(Candidate candidate) {
    return (candidate.expectedLoad() - candidate.unseenRequests()) / LoadScore.slots(candidate);
  }

  /** Picks a candidate with a probability in proportion to what it lacks to the level, by speed. */
  private Candidate pickBelow(double level, List<Candidate> candidates) {
    double sum = 0;
    Candidate picked = candidates.get(0);
    for (Candidate candidate : candidates) {
      double missing =
          (level - loadPerSlot(candidate)) * LoadScore.slots(candidate) * candidate.speed();
      if (missing > 0) {
        sum += missing;
        if (random.nextDouble() * sum < missing) {
          picked = candidate;
        }
      }
    }
    return picked;
  }
}
