package org.ragwortpick.forward;

import io.undertow.util.StatusCodes;
import org.ragwortpick.entry.upstream.HttpHead;
import org.ragwortpick.entry.upstream.RetryAfterHeader;
import org.ragwortpick.policy.limit.LeavingUpstreams;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.sync.Upstream;

/**
 * Reads what upstreams state about themselves in the heads of their responses, on all ways by which
 * requests reach them. Confined to the I/O thread.
 */
public final class UpstreamNotices {

  private static final int MISDIRECTED_REQUEST = 421;
  private static final String IS_LEAVING = "1";

  private final RoutingHeaders names;
  private final LeavingUpstreams leaving;
  private final RequestedPauses pauses;

  /**
   * Creates an instance.
   *
   * @param names names of headers
   * @param leaving receives the upstreams that are leaving
   * @param pauses receives the pauses that upstreams request
   */
  public UpstreamNotices(RoutingHeaders names, LeavingUpstreams leaving, RequestedPauses pauses) {
    this.names = names;
    this.leaving = leaving;
    this.pauses = pauses;
  }

  /**
   * Processes the head of a response that belongs to the request.
   *
   * @param upstream record of the upstream to which the request was sent
   * @param head head of the response
   */
  void onHead(Upstream upstream, HttpHead head) {
    if (head.status() == MISDIRECTED_REQUEST) {
      // Another upstream has responded, which uses the address of the expected one.
      return;
    }
    if (IS_LEAVING.equals(head.headers().getFirst(names.leaving()))) {
      leaving.record(upstream);
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
