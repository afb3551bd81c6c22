package org.ragwortpick.forward;

import org.ragwortpick.entry.upstream.HttpHead;
import org.ragwortpick.policy.limit.LeavingUpstreams;
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

  /**
   * Creates an instance.
   *
   * @param names names of headers
   * @param leaving receives the upstreams that are leaving
   */
  public UpstreamNotices(RoutingHeaders names, LeavingUpstreams leaving) {
    this.names = names;
    this.leaving = leaving;
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
  }
}
