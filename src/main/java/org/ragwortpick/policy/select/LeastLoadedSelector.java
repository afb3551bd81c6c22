package org.ragwortpick.policy.select;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.SelectionRequest;
import org.ragwortpick.policy.UpstreamSelector;

/**
 * Selects the less loaded of two random candidates, with preference for candidates of the local
 * data centre that are not more loaded.
 *
 * <p>With two random choices, VMs that see the same outdated reports do not all send to the same
 * least loaded upstream. Candidates are read by index, so that a list that creates candidates on
 * access creates only those that are read.
 */
public final class LeastLoadedSelector implements UpstreamSelector {

  /** Most random reads before the whole list is scanned for a suitable candidate. */
  private static final int MAX_RANDOM_READS = 12;

  private final String dataCentre;
  private final RandomGenerator random;

  /**
   * Creates a selector.
   *
   * @param dataCentre data centre of the local VM
   * @param random source of random numbers; guarded by this selector
   */
  public LeastLoadedSelector(String dataCentre, RandomGenerator random) {
    this.dataCentre = dataCentre;
    this.random = random;
  }

  @Override
  public Optional<Candidate> select(SelectionRequest request, List<Candidate> candidates) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    Predicate<Candidate> isSuitable = candidate -> isSuitable(request, candidate);
    Candidate best = pickLessLoadedOfTwo(candidates, isSuitable);
    if (best == null || isLocal(best)) {
      return Optional.ofNullable(best);
    }
    Candidate local =
        pickLessLoadedOfTwo(CandidateList.inDataCentre(candidates, dataCentre), isSuitable);
    boolean isLocalPreferred = local != null && LoadScore.of(local) <= LoadScore.of(best);
    return Optional.of(isLocalPreferred ? local : best);
  }

  private static boolean isSuitable(SelectionRequest request, Candidate candidate) {
    return candidate.isAvailable() && !request.excludedIds().contains(candidate.upstream().id());
  }

  private boolean isLocal(Candidate candidate) {
    return candidate.upstream().dataCentre().equals(dataCentre);
  }

  private Candidate pickLessLoadedOfTwo(
      List<Candidate> candidates, Predicate<Candidate> isSuitable) {
    Candidate first = pick(candidates, isSuitable, null);
    if (first == null) {
      return null;
    }
    Candidate second = pick(candidates, isSuitable, first.upstream().id());
    return second == null || LoadScore.of(first) <= LoadScore.of(second) ? first : second;
  }

  /** Picks a random suitable candidate other than the one with the excluded id. */
  private Candidate pick(
      List<Candidate> candidates, Predicate<Candidate> isSuitable, String excludedId) {
    int size = candidates.size();
    if (size == 0) {
      return null;
    }
    for (int read = 0; read < MAX_RANDOM_READS; read++) {
      Candidate candidate = candidates.get(nextInt(size));
      if (!candidate.upstream().id().equals(excludedId) && isSuitable.test(candidate)) {
        return candidate;
      }
    }
    Candidate picked = null;
    int suitableCount = 0;
    for (Candidate candidate : candidates) {
      if (!candidate.upstream().id().equals(excludedId) && isSuitable.test(candidate)) {
        suitableCount++;
        if (nextInt(suitableCount) == 0) {
          picked = candidate;
        }
      }
    }
    return picked;
  }

  private int nextInt(int bound) {
    synchronized (random) {
      return random.nextInt(bound);
    }
  }
}
