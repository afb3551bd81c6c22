package org.ragwortpick.policy.select;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.SelectionRequest;
import org.ragwortpick.policy.UpstreamSelector;

/**
 * Sends requests with the same prompt prefix to the same engine while that engine is not much more
 * loaded than the best one. The order of engines for a prefix is a hash, so that all VMs agree
 * without exchanging what they sent where.
 *
 * <p>A request with a short prefix goes to the data centre that holds its inputs instead.
 *
 * <p>Load answered: conversations whose prompts share thousands of tokens. Reading a prefix again
 * costs the engine time that all requests beside it feel.
 */
public final class RendezvousAffinitySelector implements UpstreamSelector {

  /** Tokens of a prefix from which reading it again costs more than moving results. */
  private static final long LARGE_PREFIX_TOKENS = 2_000;

  private final UpstreamSelector byLoad;
  private final double margin;

  /**
   * Creates a selector.
   *
   * @param byLoad selector for requests without a prefix
   * @param margin load, as a part of the slots, by which the engine of a prefix may exceed the
   *     least loaded one
   */
  public RendezvousAffinitySelector(UpstreamSelector byLoad, double margin) {
    this.byLoad = byLoad;
    this.margin = margin;
  }

  @Override
  public Optional<Candidate> select(SelectionRequest request, List<Candidate> candidates) {
    List<Candidate> suitable =
        candidates.stream()
            .filter(Candidate::isAvailable)
            .filter(candidate -> !request.excludedIds().contains(candidate.upstream().id()))
            .toList();
    double limit = suitable.stream().mapToDouble(LoadScore::of).min().orElse(0) + margin;
    List<Candidate> light =
        suitable.stream().filter(candidate -> LoadScore.of(candidate) <= limit).toList();
    List<Candidate> near =
        light.stream()
            .filter(candidate -> candidate.upstream().dataCentre().equals(request.dataCentre()))
            .toList();
    boolean stayNear = !near.isEmpty() && request.prefixTokens() < LARGE_PREFIX_TOKENS;
    if (request.prefixHash() == 0) {
      return byLoad.select(request, stayNear ? near : candidates);
    }
    String key = Long.toHexString(request.prefixHash());
    return (stayNear ? near : light)
        .stream()
            .max(
                Comparator.comparingLong(
                    candidate -> Rendezvous.score(key, candidate.upstream().id())));
  }
}
