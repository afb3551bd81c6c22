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
 * Selects the candidate with the fewest expected requests per slot, and at random among those that
 * differ by a fraction of a request, with a preference for fast ones.
 *
 * <p>Addresses many VMs that select by stale reports among upstreams of unequal speed. Equal
 * numbers of requests per slot divide the work in proportion to speed, because a slow upstream
 * holds each request for longer.
 *
 * <p>A request with a prompt prefix goes to the engine of the prefix while that exceeds the mean
 * load by at most a margin. A request with inputs goes to their data centre while the mean load
 * there does.
 */
public final class EvenLoadSelector implements UpstreamSelector {

  private final double margin;
  private final RandomGenerator random;

  /**
   * Creates a selector.
   *
   * @param margin load, as a fraction of the slots, by which the engine of a prefix or the data
   *     centre of the inputs may exceed the mean
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
    double maxLoad = meanLoad(suitable) + margin;
    boolean staysWithInputs = !withInputs.isEmpty() && meanLoad(withInputs) <= maxLoad;
    List<Candidate> preferred = staysWithInputs ? withInputs : suitable;
    Optional<Candidate> engine = engineOfPrefix(request, preferred, maxLoad);
    return engine.isPresent() ? engine : Optional.of(pickBelow(level(preferred), preferred));
  }

  /** Computes the load per slot including one additional request. */
  private static double meanLoad(List<Candidate> candidates) {
    double sum = 1;
    double slots = 0;
    for (Candidate candidate : candidates) {
      sum += candidate.expectedLoad();
      slots += LoadScore.slots(candidate);
    }
    return sum / slots;
  }

  private static Optional<Candidate> engineOfPrefix(
      SelectionRequest request, List<Candidate> candidates, double maxLoad) {
    if (request.prefixHash() == 0) {
      return Optional.empty();
    }
    String key = Long.toHexString(request.prefixHash());
    return candidates.stream()
        .filter(candidate -> LoadScore.of(candidate) <= maxLoad)
        .max(
            Comparator.comparingLong(
                candidate -> Rendezvous.score(key, candidate.upstream().id())));
  }

  /** Computes the load per slot that the least loaded candidates reach by one more request. */
  private static double level(List<Candidate> candidates) {
    Candidate[] byLoad = candidates.toArray(new Candidate[0]);
    Arrays.sort(byLoad, Comparator.comparingDouble(EvenLoadSelector::loadPerSlot));
    double sum = 1;
    double slots = 0;
    double level = 0;
    for (Candidate candidate : byLoad) {
      if (slots > 0 && loadPerSlot(candidate) >= level) {
        break;
      }
      sum += candidate.expectedLoad();
      slots += LoadScore.slots(candidate);
      level = sum / slots;
    }
    return level;
  }

  private static double loadPerSlot(Candidate candidate) {
    return candidate.expectedLoad() / LoadScore.slots(candidate);
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
