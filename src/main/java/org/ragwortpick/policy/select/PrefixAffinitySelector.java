package org.ragwortpick.policy.select;

import java.util.List;
import java.util.Optional;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.PrefixIndex;
import org.ragwortpick.policy.SelectionRequest;
import org.ragwortpick.policy.UpstreamSelector;

/**
 * Prefers an engine that holds the prompt prefix while its load exceeds that of the best candidate
 * by at most a margin.
 */
public final class PrefixAffinitySelector implements UpstreamSelector {

  private final UpstreamSelector loadSelector;
  private final PrefixIndex prefixIndex;
  private final double margin;

  /**
   * Creates a selector.
   *
   * @param loadSelector selector that finds the best candidate by load
   * @param prefixIndex index of the prefixes that engines hold
   * @param margin requests per slot by which a holder may be more loaded than the best
   */
  public PrefixAffinitySelector(
      UpstreamSelector loadSelector, PrefixIndex prefixIndex, double margin) {
    this.loadSelector = loadSelector;
    this.prefixIndex = prefixIndex;
    this.margin = margin;
  }

  @Override
  public Optional<Candidate> select(SelectionRequest request, List<Candidate> candidates) {
    Optional<Candidate> best = loadSelector.select(request, candidates);
    if (request.prefixHash() == 0 || best.isEmpty()) {
      return best;
    }
    List<String> holders = prefixIndex.holders(request.prefixHash());
    if (holders.isEmpty()) {
      return best;
    }
    // The load selector also spreads requests among the holders, so that VMs use different ones.
    Optional<Candidate> holder =
        loadSelector.select(request, CandidateList.withIds(candidates, holders));
    boolean isHolderPreferred =
        holder.isPresent() && LoadScore.of(holder.get()) <= LoadScore.of(best.get()) + margin;
    return isHolderPreferred ? holder : best;
  }
}
