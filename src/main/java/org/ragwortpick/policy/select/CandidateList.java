package org.ragwortpick.policy.select;

import java.util.AbstractList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.RandomAccess;
import java.util.stream.Collectors;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.UpstreamLimiter;
import org.ragwortpick.sync.Upstream;

/**
 * Candidates that are created lazily on access. A list may be reused while its upstreams are
 * current, so that a request creates only the few candidates that it reads.
 */
public final class CandidateList extends AbstractList<Candidate> implements RandomAccess {

  private final List<Upstream> upstreams;
  private final UpstreamLimiter limiter;
  private final Map<String, Integer> positionsById;
  private final Map<String, List<Upstream>> upstreamsByDataCentre;

  /**
   * Creates a list.
   *
   * @param upstreams upstreams that may receive new work
   * @param limiter limiter that creates the candidates
   */
  public CandidateList(List<Upstream> upstreams, UpstreamLimiter limiter) {
    this.upstreams = List.copyOf(upstreams);
    this.limiter = limiter;
    this.positionsById = new HashMap<>();
    this.upstreamsByDataCentre =
        this.upstreams.stream().collect(Collectors.groupingBy(Upstream::dataCentre));
    for (int i = 0; i < this.upstreams.size(); i++) {
      positionsById.put(this.upstreams.get(i).id(), i);
    }
  }

  @Override
  public Candidate get(int index) {
    return limiter.describe(upstreams.get(index));
  }

  @Override
  public int size() {
    return upstreams.size();
  }

  /** Candidates of one data centre, created lazily on access. */
  private static final class DataCentreCandidates extends AbstractList<Candidate>
      implements RandomAccess {
    private final List<Upstream> upstreams;
    private final UpstreamLimiter limiter;

    private DataCentreCandidates(List<Upstream> upstreams, UpstreamLimiter limiter) {
      this.upstreams = upstreams;
      this.limiter = limiter;
    }

    @Override
    public Candidate get(int index) {
      return limiter.describe(upstreams.get(index));
    }

    @Override
    public int size() {
      return upstreams.size();
    }
  }

  /**
   * Lists the candidates of a data centre.
   *
   * @param candidates any list of candidates
   * @param dataCentre the data centre
   * @return the candidates of the data centre
   */
  static List<Candidate> inDataCentre(List<Candidate> candidates, String dataCentre) {
    if (candidates instanceof CandidateList list) {
      return new DataCentreCandidates(
          list.upstreamsByDataCentre.getOrDefault(dataCentre, List.of()), list.limiter);
    }
    return candidates.stream()
        .filter(candidate -> candidate.upstream().dataCentre().equals(dataCentre))
        .toList();
  }

  /**
   * Finds candidates by id.
   *
   * @param candidates any list of candidates
   * @param ids ids to find
   * @return the candidates with one of the ids, in any order
   */
  static List<Candidate> withIds(List<Candidate> candidates, List<String> ids) {
    List<Candidate> found = new ArrayList<>(Math.min(ids.size(), candidates.size()));
    if (candidates instanceof CandidateList list) {
      for (String id : ids) {
        Integer position = list.positionsById.get(id);
        if (position != null) {
          found.add(list.get(position));
        }
      }
      return found;
    }
    for (Candidate candidate : candidates) {
      if (ids.contains(candidate.upstream().id())) {
        found.add(candidate);
      }
    }
    return found;
  }
}
