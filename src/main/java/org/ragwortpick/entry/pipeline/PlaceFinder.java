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

/** Finds an upstream with a free place. */
public final class PlaceFinder {

  /** Bounds the work of one search in a large pool that is full. */
  private static final int MAX_TRIES = 8;

  private final EntryDependencies dependencies;
  private final RequestPolicies policies;
  private final DispatchGate gate;

  /**
   * Creates a finder.
   *
   * @param dependencies what all requests share
   * @param gate check of single upstreams
   */
  public PlaceFinder(EntryDependencies dependencies, DispatchGate gate) {
    this.dependencies = dependencies;
    this.policies = dependencies.policies();
    this.gate = gate;
  }

  /**
   * Looks for a place.
   *
   * @param service service of the stage
   * @param prefixHash hash of the prompt prefix; 0 without a prompt
   * @param excluded upstreams that must not be used
   * @param avoided upstreams that are used only if no other one is left
   * @return a place, or why there is none
   */
  public Search find(String service, long prefixHash, Set<String> excluded, Set<String> avoided) {
    List<Upstream> usable = new ArrayList<>();
    List<Upstream> known = dependencies.directory().upstreams(service);
    for (Upstream upstream : known) {
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

  private Optional<UpstreamPlace> acquire(
      String service, long prefixHash, Set<String> excluded, List<Upstream> upstreams) {
    Set<String> full = new HashSet<>(excluded);
    List<Candidate> candidates = new ArrayList<>();
    upstreams.forEach(upstream -> candidates.add(policies.limiter().describe(upstream)));
    for (int tries = 0; tries < MAX_TRIES && !candidates.isEmpty(); tries++) {
      SelectionRequest request = new SelectionRequest(service, prefixHash, full);
      Optional<Candidate> selected = policies.selector().select(request, candidates);
      if (selected.isEmpty()) {
        return Optional.empty();
      }
      Upstream upstream = selected.get().upstream();
      if (tryAcquire(upstream)) {
        return Optional.of(new UpstreamPlace(upstream, policies));
      }
      full.add(upstream.id());
      candidates.removeIf(candidate -> candidate.upstream().id().equals(upstream.id()));
    }
    return Optional.empty();
  }

  private boolean tryAcquire(Upstream upstream) {
    if (!policies.allowances().tryAcquire(upstream)) {
      return false;
    }
    if (policies.limiter().tryAcquire(upstream)) {
      return true;
    }
    policies.allowances().release(upstream);
    return false;
  }

  /**
   * Result of a search.
   *
   * @param place the place, or empty if there is none now
   * @param exhausted whether every upstream that could take the stage has failed it
   */
  public record Search(Optional<UpstreamPlace> place, boolean exhausted) {}
}
