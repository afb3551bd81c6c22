package org.ragwortpick.entry.pipeline;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ragwortpick.entry.EntryDependencies;
import org.ragwortpick.entry.RequestPolicies;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.SelectionRequest;
import org.ragwortpick.sync.Upstream;

/** Selects an upstream and acquires a slot there. */
public final class SlotFinder {

  /** Bounds the cost of one search if many upstreams have no free slot. */
  private static final int MAX_CANDIDATES_TRIED = 8;

  private final EntryDependencies dependencies;
  private final RequestPolicies policies;
  private final DispatchGate gate;

  /**
   * Creates a finder.
   *
   * @param dependencies components that all requests share
   * @param gate check whether an upstream may be sent new work
   */
  public SlotFinder(EntryDependencies dependencies, DispatchGate gate) {
    this.dependencies = dependencies;
    this.policies = dependencies.policies();
    this.gate = gate;
  }

  /**
   * Tries to acquire a slot.
   *
   * @param service service of the stage
   * @param prefixHash hash of the prompt prefix; 0 without a prompt
   * @param excluded upstreams that must not be used
   * @param avoided upstreams that are used only if no others are left
   * @return the slot if one is free, and whether all usable upstreams are excluded
   */
  public Search find(String service, long prefixHash, Set<String> excluded, Set<String> avoided) {
    List<Upstream> usable = new ArrayList<>();
    List<Upstream> upstreams = dependencies.directory().upstreams(service);
    for (Upstream upstream : upstreams) {
      if (!excluded.contains(upstream.id()) && gate.maySend(upstream)) {
        usable.add(upstream);
      }
    }
    if (usable.isEmpty()) {
      return new Search(Optional.empty(), !excluded.isEmpty());
    }
    List<Upstream> preferred = new ArrayList<>(usable);
    preferred.removeIf(upstream -> avoided.contains(upstream.id()));
    List<Upstream> candidates = preferred.isEmpty() ? usable : preferred;
    return new Search(acquire(service, prefixHash, excluded, candidates), false);
  }

  private Optional<UpstreamSlot> acquire(
      String service, long prefixHash, Set<String> excluded, List<Upstream> upstreams) {
    Set<String> full = new HashSet<>(excluded);
    List<Candidate> candidates = new ArrayList<>();
    upstreams.forEach(upstream -> candidates.add(policies.limiter().describe(upstream)));
    for (int tried = 0; tried < MAX_CANDIDATES_TRIED && !candidates.isEmpty(); tried++) {
      SelectionRequest request = new SelectionRequest(service, prefixHash, full);
      Optional<Candidate> selected = policies.selector().select(request, candidates);
      if (selected.isEmpty()) {
        return Optional.empty();
      }
      Upstream upstream = selected.get().upstream();
      if (tryAcquire(upstream)) {
        return Optional.of(new UpstreamSlot(upstream, policies));
      }
      full.add(upstream.id());
      candidates.removeIf(candidate -> candidate.upstream().id().equals(upstream.id()));
    }
    return Optional.empty();
  }

  private boolean tryAcquire(Upstream upstream) {
    if (!policies.coldAllowances().tryAcquire(upstream)) {
      return false;
    }
    if (policies.limiter().tryAcquire(upstream)) {
      return true;
    }
    policies.coldAllowances().release(upstream);
    return false;
  }

  /**
   * Result of a search.
   *
   * @param slot the slot, or empty if none is free now
   * @param exhausted whether all upstreams that could run the stage are excluded
   */
  public record Search(Optional<UpstreamSlot> slot, boolean exhausted) {}
}
