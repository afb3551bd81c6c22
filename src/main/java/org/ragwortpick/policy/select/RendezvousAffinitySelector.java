package org.ragwortpick.policy.select;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.SelectionRequest;
import org.ragwortpick.policy.UpstreamSelector;

/**
 * Selects the same engine for requests with the same prompt prefix while its load exceeds that of
 * the least loaded engine by at most a margin. Engines are ordered by rendezvous hashing of the
 * prefix, so that all VMs select the same engine without messages between them.
 *
 * <p>A request with a short prefix prefers the data centre that holds its inputs.
 *
 * <p>Intended for conversations whose prompts share thousands of tokens. Processing a prefix again
 * delays all other requests of the engine.
 */
public final class RendezvousAffinitySelector implements UpstreamSelector {

  /** Number of prefix tokens from which processing them again costs more than moving results. */
  static final long LARGE_PREFIX_TOKENS = 2_000;

  private final UpstreamSelector loadSelector;
  private final double margin;

  /**
   * Creates a selector.
   *
   * @param loadSelector selector for requests without a prefix
   * @param margin load, as a fraction of the slots, by which the engine of a prefix may exceed the
   *     least loaded one
   */
  public RendezvousAffinitySelector(UpstreamSelector loadSelector, double margin) {
    this.loadSelector = loadSelector;
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
    List<Candidate> withinMargin =
        suitable.stream().filter(candidate -> LoadScore.of(candidate) <= limit).toList();
    List<Candidate> withInputs =
        withinMargin.stream()
            .filter(candidate -> candidate.upstream().dataCentre().equals(request.dataCentre()))
            .toList();
    boolean preferInputs = !withInputs.isEmpty() && request.prefixTokens() < LARGE_PREFIX_TOKENS;
    if (request.prefixHash() == 0) {
      return loadSelector.select(request, preferInputs ? withInputs : candidates);
    }
    String key = Long.toHexString(request.prefixHash());
    return (preferInputs ? withInputs : withinMargin)
        .stream()
            .max(
                Comparator.comparingLong(
                    candidate -> Rendezvous.score(key, candidate.upstream().id())));
  }
}
