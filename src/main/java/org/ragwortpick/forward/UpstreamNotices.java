package org.ragwortpick.forward;

import io.undertow.util.StatusCodes;
import java.util.OptionalDouble;
import org.jboss.logging.Logger;
import org.ragwortpick.entry.upstream.HttpHead;
import org.ragwortpick.entry.upstream.RetryAfterHeader;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.policy.limit.LeavingUpstreams;
import org.ragwortpick.policy.limit.NamedLimits;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.sync.Upstream;

/**
 * Reads what upstreams state about themselves in the heads of their responses, on all ways by which
 * requests reach them. Confined to the I/O thread.
 */
public final class UpstreamNotices {

  private static final Logger LOG = Logger.getLogger(UpstreamNotices.class);
  private static final String IS_LEAVING = "1";

  private final RoutingHeaders names;
  private final LeavingUpstreams leaving;
  private final RequestedPauses pauses;
  private final NamedLimits limits;
  private final LoadReports loadReports;

  /**
   * Creates an instance.
   *
   * @param names names of headers
   * @param leaving receives the upstreams that are leaving
   * @param pauses receives the pauses that upstreams request
   * @param limits receives the limits that upstreams name
   * @param loadReports receives the loads that upstreams report
   */
  public UpstreamNotices(
      RoutingHeaders names,
      LeavingUpstreams leaving,
      RequestedPauses pauses,
      NamedLimits limits,
      LoadReports loadReports) {
    this.names = names;
    this.limits = limits;
    this.leaving = leaving;
    this.pauses = pauses;
    this.loadReports = loadReports;
  }

  /**
   * Processes the head of a response that belongs to the request.
   *
   * @param upstream record of the upstream to which the request was sent
   * @param head head of the response
   * @param sentAtMs monotonic time in milliseconds at which the request was sent, or before it
   */
  void onHead(Upstream upstream, HttpHead head, long sentAtMs) {
    if (head.status() == Refusal.MISDIRECTED_REQUEST) {
      // Another upstream has responded, which uses the address of the expected one.
      return;
    }
    loadReports.onHead(upstream, head);
    if (IS_LEAVING.equals(head.headers().getFirst(names.leaving()))) {
      leaving.record(upstream);
    }
    OptionalDouble limit = LimitHeader.parse(head.headers(), names.limit());
    if (limit.isPresent()) {
      limits.record(upstream, limit.getAsDouble(), sentAtMs);
    } else {
      DecisionLine.of("limit of upstream cannot be read and is ignored")
          .with("upstream", upstream.id())
          .with("value", head.headers().getFirst(names.limit()))
          .info(LOG);
    }
    if (requestsPause(head)) {
      pauses.record(upstream, RetryAfterHeader.delayMs(head.headers()));
    }
  }

  /**
   * Returns whether a response requests a pause, which is no failure of its upstream.
   *
   * @param head head of the response
   * @return whether it is a refusal with a retry time
   */
  static boolean requestsPause(HttpHead head) {
    return head.status() == StatusCodes.SERVICE_UNAVAILABLE
        && RetryAfterHeader.delayMs(head.headers()) > 0;
  }
}
