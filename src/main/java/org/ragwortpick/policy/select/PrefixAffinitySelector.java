package org.ragwortpick.policy.select;

import java.util.List;
import java.util.Optional;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.PrefixIndex;
import org.ragwortpick.policy.SelectionRequest;
import org.ragwortpick.policy.UpstreamSelector;

/** Prefers an engine that holds the prompt prefix while its load is within a margin of the best. */
public final class PrefixAffinitySelector implements UpstreamSelector {

  private final UpstreamSelector byLoad;
  private final PrefixIndex index;
  private final double margin;

  /**
   * Creates a selector.
   *
   * @param byLoad selector that finds the best candidate by load
   * @param index prefixes that engines hold
   * @param margin requests per slot by which a holder may be more loaded than the best
   */
  public PrefixAffinitySelector(UpstreamSelector byLoad, PrefixIndex index, double margin) {
    this.byLoad = byLoad;
    this.index = index;
    this.margin = margin;
  }

  @Override
  public Optional<Candidate> select(SelectionRequest request, List<Candidate> candidates) {
    Optional<Candidate> best = byLoad.select(request, candidates);
    if (request.prefixHash() == 0 || best.isEmpty()) {
      return best;
    }
    List<String> holders = index.holders(request.prefixHash());
    if (holders.isEmpty()) {
      return best;
    }
    // Choosing among the holders as among all keeps VMs from all sending to the same holder.
    Optional<Candidate> preferred =
        byLoad.select(request, CandidateList.withIds(candidates, holders));
    boolean holderWins =
        preferred.isPresent() && LoadScore.of(preferred.get()) <= LoadScore.of(best.get()) + margin;
    return holderWins ? preferred : best;
  }
}
