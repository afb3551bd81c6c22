package org.ragwortpick.policy.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpick.policy.Candidate;

/**
 * Tokens that requests hold at upstreams, as estimated by one VM. Confined to one thread.
 *
 * <p>Addresses engines that end when the tokens of their requests exceed their memory. Requests of
 * the local VM are counted by what they state, those of other VMs by the mean of the local ones.
 *
 * <p>An upstream at which one more request would exceed the memory is excluded while another has
 * room. Prefixes are counted for each request then, and waiting requests count too. If that
 * excludes all upstreams, those remain whose memory suffices with each shared prefix counted once
 * and with running requests only.
 */
public final class UpstreamTokens {

  /** Weight of one request in the mean tokens of the requests of its service. */
  private static final double MEAN_WEIGHT = 0.05;

  private final Map<String, Held> heldByUpstream = new HashMap<>();
  private final Map<String, Means> meansByService = new HashMap<>();
  private int excludedCount;

  /** Creates estimates without requests. */
  public UpstreamTokens() {}

  /**
   * Records that a request was sent.
   *
   * @param service service of the upstream
   * @param upstreamId id of the upstream
   * @param demand tokens of the request
   */
  public void recordStart(String service, String upstreamId, TokenDemand demand) {
    if (demand.isKnown()) {
      meansByService.computeIfAbsent(service, name -> new Means(demand)).add(demand);
    }
    heldByUpstream.computeIfAbsent(upstreamId, id -> new Held()).add(demand);
  }

  /**
   * Records that a request ended.
   *
   * @param upstreamId id of the upstream
   * @param demand tokens of the request, as at its start
   */
  public void recordEnd(String upstreamId, TokenDemand demand) {
    heldByUpstream.computeIfPresent(upstreamId, (id, held) -> held.remove(demand) ? null : held);
  }

  /**
   * Makes the candidates unavailable whose memory is exceeded by one more request.
   *
   * @param service name of the service
   * @param candidates the candidates
   * @param demand tokens of the request
   * @param memoryTokens memory of one upstream in tokens; 0 if unknown
   * @return the candidates in the same order
   */
  List<Candidate> limit(
      String service, List<Candidate> candidates, TokenDemand demand, long memoryTokens) {
    excludedCount = 0;
    Means known = meansByService.get(service);
    if (memoryTokens <= 0 || known == null && !demand.isKnown()) {
      return candidates;
    }
    Means means = known == null ? new Means(demand) : known;
    TokenDemand needed = demand.isKnown() ? demand : new TokenDemand(Math.round(means.all), 0, 0);
    List<Candidate> limited = new ArrayList<>(candidates.size());
    boolean anyFits = false;
    for (Candidate candidate : candidates) {
      boolean fits = mostTokens(candidate, needed, means) <= memoryTokens;
      anyFits |= fits && candidate.isAvailable();
      limited.add(fits ? candidate : candidate.unavailable());
    }
    if (!anyFits) {
      limited.clear();
      for (Candidate candidate : candidates) {
        boolean fits = leastTokens(candidate, needed, means) <= memoryTokens;
        limited.add(fits ? candidate : candidate.unavailable());
      }
    }
    for (int i = 0; i < limited.size(); i++) {
      excludedCount += limited.get(i).equals(candidates.get(i)) ? 0 : 1;
    }
    return limited;
  }

  private double mostTokens(Candidate candidate, TokenDemand needed, Means means) {
    Held held = heldByUpstream.getOrDefault(candidate.upstream().id(), Held.NONE);
    return held.tokens + (held.unknown + candidate.otherRequests()) * means.all + needed.tokens();
  }

  private double leastTokens(Candidate candidate, TokenDemand needed, Means means) {
    Held held = heldByUpstream.getOrDefault(candidate.upstream().id(), Held.NONE);
    double requests = held.requests + candidate.otherRequests();
    double runningShare = Math.min(1, candidate.upstream().concurrency() / requests);
    double privateTokens =
        held.privateTokens + (held.unknown + candidate.otherRequests()) * means.unshared;
    boolean holdsPrefix = held.prefixes.containsKey(needed.prefixHash());
    return privateTokens * runningShare
        + held.prefixTokens()
        + (holdsPrefix ? needed.privateTokens() : needed.tokens());
  }

  /**
   * Returns the tokens of own requests at an upstream.
   *
   * @param upstreamId id of the upstream
   * @return number of tokens, shared prefixes counted for each request
   */
  public long ownTokens(String upstreamId) {
    return heldByUpstream.getOrDefault(upstreamId, Held.NONE).tokens;
  }

  /**
   * Returns how many upstreams the last choice excluded because of their memory.
   *
   * @return number of upstreams
   */
  public int excludedCount() {
    return excludedCount;
  }

  /** Mean tokens of the requests of a service. */
  private static final class Means {
    private double all;
    private double unshared;

    Means(TokenDemand first) {
      all = first.tokens();
      unshared = first.privateTokens();
    }

    void add(TokenDemand demand) {
      all += MEAN_WEIGHT * (demand.tokens() - all);
      unshared += MEAN_WEIGHT * (demand.privateTokens() - unshared);
    }
  }

  /** Requests of the local VM at one upstream. */
  private static final class Held {
    private static final Held NONE = new Held();

    private final Map<Long, Prefix> prefixes = new HashMap<>();
    private int requests;
    private int unknown;
    private long tokens;
    private long privateTokens;

    void add(TokenDemand demand) {
      requests++;
      unknown += demand.isKnown() ? 0 : 1;
      tokens += demand.tokens();
      privateTokens += demand.privateTokens();
      if (demand.sharedTokens() > 0) {
        prefixes.merge(
            demand.prefixHash(), new Prefix(1, demand.sharedTokens()), (a, b) -> a.plus(1));
      }
    }

    /** Returns whether no request is left. */
    boolean remove(TokenDemand demand) {
      requests--;
      unknown -= demand.isKnown() ? 0 : 1;
      tokens -= demand.tokens();
      privateTokens -= demand.privateTokens();
      if (demand.sharedTokens() > 0) {
        prefixes.computeIfPresent(
            demand.prefixHash(), (hash, prefix) -> prefix.requests() > 1 ? prefix.plus(-1) : null);
      }
      return requests == 0;
    }

    long prefixTokens() {
      return prefixes.values().stream().mapToLong(Prefix::tokens).sum();
    }
  }

  /**
   * Prefix that own requests share.
   *
   * @param requests number of requests with this prefix
   * @param tokens tokens of the prefix
   */
  private record Prefix(int requests, long tokens) {

    Prefix plus(int more) {
      return new Prefix(requests + more, tokens);
    }
  }
}
