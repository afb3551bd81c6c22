package org.ragwortpick.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.Pipeline;
import org.ragwortpick.policy.AdmissionController;
import org.ragwortpick.policy.AdmissionRequest;
import org.ragwortpick.policy.AttemptResult;
import org.ragwortpick.policy.CacheEvent;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.DeadlineBudget;
import org.ragwortpick.policy.HedgePolicy;
import org.ragwortpick.policy.PrefixIndex;
import org.ragwortpick.policy.RetryBudget;
import org.ragwortpick.policy.RetryDecision;
import org.ragwortpick.policy.RetryShare;
import org.ragwortpick.policy.SelectionRequest;
import org.ragwortpick.policy.UpstreamLimiter;
import org.ragwortpick.policy.UpstreamSelector;
import org.ragwortpick.sync.ColdAllowances;
import org.ragwortpick.sync.Upstream;

/** Naive policies: round robin, fixed concurrency, retry after any error, no admission control. */
final class NaiveDecisions implements Decisions {

  /** Requests that one VM has in flight at one upstream at most. */
  private static final int MAX_IN_FLIGHT_PER_UPSTREAM = 4;

  private final UpstreamLimiter limiter = new FixedLimiter();
  private final UpstreamSelector selector = new RoundRobin();
  private final AdmissionController admission = new NoAdmission();
  private final DeadlineBudget deadlineBudget = new WholeDeadline();
  private final ColdAllowances allowances = new NoAllowances();
  private final PrefixIndex prefixIndex = new NoIndex();

  @Override
  public UpstreamSelector selector() {
    return selector;
  }

  @Override
  public DeadlineBudget deadlineBudget() {
    return deadlineBudget;
  }

  @Override
  public AdmissionController admission(boolean isPlainCall) {
    return admission;
  }

  @Override
  public RetryBudget retryBudget() {
    return new UnlimitedRetries();
  }

  @Override
  public HedgePolicy hedgePolicy() {
    return new NoHedges();
  }

  @Override
  public UpstreamLimiter limiter() {
    return limiter;
  }

  @Override
  public ColdAllowances allowances() {
    return allowances;
  }

  @Override
  public PrefixIndex prefixIndex() {
    return prefixIndex;
  }

  @Override
  public List<Candidate> candidates(List<Upstream> upstreams) {
    return upstreams.stream().map(limiter::describe).toList();
  }

  @Override
  public void update(Configuration configuration, List<Upstream> upstreams) {}

  @Override
  public void expire() {}

  @Override
  public boolean mayRetry(boolean isNonIdempotent, boolean mayHaveRun) {
    return true;
  }

  @Override
  public boolean checksConfigurationLease() {
    return false;
  }

  @Override
  public void syncAllowances(double latencyMs, Set<String> returningDataCentres) {}

  private static final class RoundRobin implements UpstreamSelector {
    private final Map<String, Integer> nextByService = new HashMap<>();

    @Override
    public Optional<Candidate> select(SelectionRequest request, List<Candidate> candidates) {
      for (int i = 0; i < candidates.size(); i++) {
        int position = nextByService.merge(request.service(), 1, Integer::sum) % candidates.size();
        Candidate candidate = candidates.get(position);
        if (!request.excludedIds().contains(candidate.upstream().id())) {
          return Optional.of(candidate);
        }
      }
      return Optional.empty();
    }
  }

  private static final class FixedLimiter implements UpstreamLimiter {
    private final Map<String, Integer> inFlight = new HashMap<>();

    @Override
    public boolean tryAcquire(Upstream upstream) {
      int current = inFlight.getOrDefault(upstream.id(), 0);
      if (current >= MAX_IN_FLIGHT_PER_UPSTREAM) {
        return false;
      }
      inFlight.put(upstream.id(), current + 1);
      return true;
    }

    @Override
    public void release(Upstream upstream, AttemptResult result, long firstByteMs) {
      inFlight.merge(upstream.id(), -1, Integer::sum);
    }

    @Override
    public Candidate describe(Upstream upstream) {
      return new Candidate(upstream, 0, 0);
    }

    @Override
    public boolean looksCold(Upstream upstream) {
      return false;
    }
  }

  private static final class NoAdmission implements AdmissionController {
    @Override
    public CompletionStage<Boolean> admit(AdmissionRequest request) {
      return CompletableFuture.completedFuture(true);
    }

    @Override
    public void release(String workspace) {}

    @Override
    public void expire() {}

    @Override
    public void update(Configuration configuration, int capacity) {}
  }

  private static final class WholeDeadline implements DeadlineBudget {
    @Override
    public long stageBudgetMs(Pipeline pipeline, int stageIndex, long remainingMs) {
      return remainingMs;
    }

    @Override
    public boolean canFinish(Pipeline pipeline, int stageIndex, long remainingMs) {
      return true;
    }

    @Override
    public void recordStage(Pipeline pipeline, int stageIndex, long elapsedMs) {}
  }

  private static final class UnlimitedRetries implements RetryBudget {
    @Override
    public void recordFirstAttempt() {}

    @Override
    public RetryDecision take() {
      return new RetryDecision(true, 0, 0, RetryShare.NONE);
    }
  }

  private static final class NoHedges implements HedgePolicy {
    @Override
    public OptionalLong delayMs(String service) {
      return OptionalLong.empty();
    }

    @Override
    public void recordFirstByte(String service, long elapsedMs) {}
  }

  private static final class NoAllowances implements ColdAllowances {
    @Override
    public boolean tryAcquire(Upstream upstream) {
      return true;
    }

    @Override
    public void release(Upstream upstream) {}

    @Override
    public void reportCold(Upstream upstream) {}
  }

  private static final class NoIndex implements PrefixIndex {
    @Override
    public void recordResponse(String upstreamId, long prefixHash) {}

    @Override
    public boolean apply(CacheEvent event) {
      return true;
    }

    @Override
    public void applySnapshot(
        String upstreamId, long incarnation, long sequence, Set<Long> prefixHashes) {}

    @Override
    public boolean needsSnapshot(String upstreamId) {
      return false;
    }

    @Override
    public void remove(String upstreamId) {}

    @Override
    public List<String> holders(long prefixHash) {
      return List.of();
    }
  }
}
