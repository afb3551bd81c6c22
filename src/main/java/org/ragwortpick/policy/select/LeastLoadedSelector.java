package org.ragwortpick.policy.select;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.SelectionRequest;
import org.ragwortpick.policy.UpstreamSelector;

/**
 * Selects the less loaded of two random candidates; a candidate of the own data centre wins while
 * it is not more loaded.
 *
 * <p>Two random choices keep VMs that see the same lagging reports from all sending to the upstream
 * that looks best. Candidates are read by index, so a list that describes upstreams on access is
 * only described where it is read.
 */
public final class LeastLoadedSelector implements UpstreamSelector {

  /** Random reads before the whole list is scanned for a suitable candidate. */
  private static final int RANDOM_READS = 12;

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
    Predicate<Candidate> suitable = candidate -> isSuitable(request, candidate);
    Candidate best = bestOfTwo(candidates, suitable);
    if (best == null || isLocal(best)) {
      return Optional.ofNullable(best);
    }
    Candidate local = bestOfTwo(CandidateList.inDataCentre(candidates, dataCentre), suitable);
    boolean localWins = local != null && LoadScore.of(local) <= LoadScore.of(best);
    return Optional.of(localWins ? local : best);
  }

  private static boolean isSuitable(SelectionRequest request, Candidate candidate) {
    return candidate.isAvailable() && !request.excludedIds().contains(candidate.upstream().id());
  }

  private boolean isLocal(Candidate candidate) {
    return candidate.upstream().dataCentre().equals(dataCentre);
  }

  private Candidate bestOfTwo(List<Candidate> candidates, Predicate<Candidate> suitable) {
    Candidate first = pick(candidates, suitable, null);
    if (first == null) {
      return null;
    }
    Candidate second = pick(candidates, suitable, first.upstream().id());
    return second == null || LoadScore.of(first) <= LoadScore.of(second) ? first : second;
  }

  /** Picks a random suitable candidate other than the one with the given identity. */
  private Candidate pick(
      List<Candidate> candidates, Predicate<Candidate> suitable, String otherThanId) {
    int size = candidates.size();
    if (size == 0) {
      return null;
    }
    for (int read = 0; read < RANDOM_READS; read++) {
      Candidate candidate = candidates.get(nextInt(size));
      if (!candidate.upstream().id().equals(otherThanId) && suitable.test(candidate)) {
        return candidate;
      }
    }
    Candidate picked = null;
    int seen = 0;
    for (Candidate candidate : candidates) {
      if (!candidate.upstream().id().equals(otherThanId) && suitable.test(candidate)) {
        seen++;
        if (nextInt(seen) == 0) {
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
