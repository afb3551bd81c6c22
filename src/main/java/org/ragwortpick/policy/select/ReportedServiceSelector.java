package org.ragwortpick.policy.select;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.SelectionRequest;
import org.ragwortpick.policy.UpstreamSelector;

/** Uses one selector for the services whose upstreams report work times, another for the rest. */
public final class ReportedServiceSelector implements UpstreamSelector {

  private final Predicate<String> isReported;
  private final UpstreamSelector reportedSelector;
  private final UpstreamSelector otherSelector;

  /**
   * Creates a selector.
   *
   * @param isReported whether the upstreams of a service report work times
   * @param reportedSelector selector for these services
   * @param otherSelector selector for all other services
   */
  public ReportedServiceSelector(
      Predicate<String> isReported,
      UpstreamSelector reportedSelector,
      UpstreamSelector otherSelector) {
    this.isReported = isReported;
    this.reportedSelector = reportedSelector;
    this.otherSelector = otherSelector;
  }

  @Override
  public Optional<Candidate> select(SelectionRequest request, List<Candidate> candidates) {
    return (isReported.test(request.service()) ? reportedSelector : otherSelector)
        .select(request, candidates);
  }
}
