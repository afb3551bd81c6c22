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
 * Candidates that are described when they are read. A list may be kept while the upstreams that it
 * was made from are current, so that a request reads a few candidates and not all.
 */
public final class CandidateList extends AbstractList<Candidate> implements RandomAccess {

  private final List<Upstream> upstreams;
  private final UpstreamLimiter limiter;
  private final Map<String, Integer> positions;
  private final Map<String, List<Upstream>> byDataCentre;

  /**
   * Creates a list.
   *
   * @param upstreams upstreams that may receive new work
   * @param limiter limiter that describes them
   */
  public CandidateList(List<Upstream> upstreams, UpstreamLimiter limiter) {
    this.upstreams = List.copyOf(upstreams);
    this.limiter = limiter;
    this.positions = new HashMap<>();
    this.byDataCentre =
        this.upstreams.stream().collect(Collectors.groupingBy(Upstream::dataCentre));
    for (int i = 0; i < this.upstreams.size(); i++) {
      positions.put(this.upstreams.get(i).id(), i);
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

  /** Candidates of one data centre, described when they are read. */
  private static final class Part extends AbstractList<Candidate> implements RandomAccess {
    private final List<Upstream> upstreams;
    private final UpstreamLimiter limiter;

    private Part(List<Upstream> upstreams, UpstreamLimiter limiter) {
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
   * @return its candidates
   */
  static List<Candidate> inDataCentre(List<Candidate> candidates, String dataCentre) {
    if (candidates instanceof CandidateList list) {
      return new Part(list.byDataCentre.getOrDefault(dataCentre, List.of()), list.limiter);
    }
    return candidates.stream()
        .filter(candidate -> candidate.upstream().dataCentre().equals(dataCentre))
        .toList();
  }

  /**
   * Finds candidates by identity.
   *
   * @param candidates any list of candidates
   * @param ids identities to find
   * @return the candidates of the list with these identities
   */
  static List<Candidate> withIds(List<Candidate> candidates, List<String> ids) {
    List<Candidate> found = new ArrayList<>(Math.min(ids.size(), candidates.size()));
    if (candidates instanceof CandidateList list) {
      for (String id : ids) {
        Integer position = list.positions.get(id);
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
