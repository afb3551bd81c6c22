package org.ragwortpick.forward;

import io.undertow.util.HttpString;
import java.util.Optional;
import org.ragwortpick.entry.upstream.HttpHead;
import org.ragwortpick.policy.limit.UpstreamEstimates;
import org.ragwortpick.sync.Upstream;

/** Reads the load reports in the heads of responses. Confined to the I/O thread. */
public final class LoadReports {

  private final HttpString header;
  private final UpstreamEstimates estimates;
  private final InvalidInputLog invalidInput;

  /**
   * Creates an instance.
   *
   * @param names names of headers
   * @param estimates receives the reported loads and work times
   * @param invalidInput logs reports that cannot be read
   */
  public LoadReports(
      RoutingHeaders names, UpstreamEstimates estimates, InvalidInputLog invalidInput) {
    this.header = names.load();
    this.estimates = estimates;
    this.invalidInput = invalidInput;
  }

  /**
   * Processes the head of a response that belongs to the request.
   *
   * @param upstream upstream that responded
   * @param head head of the response
   */
  void onHead(Upstream upstream, HttpHead head) {
    String text = head.headers().getFirst(header);
    if (text == null) {
      return;
    }
    Optional<LoadReport> parsed = LoadReport.parse(text);
    if (parsed.isEmpty()) {
      // The requests in flight are also counted locally, so the upstream is used further.
      invalidInput.log(
          "load report of upstream cannot be read and is ignored", "upstream", upstream.id(), text);
      return;
    }
    LoadReport report = parsed.get();
    estimates.loads().recordReport(upstream.id(), report.totalRequests());
    if (report.workTimePercent().isPresent()) {
      estimates.workTimes().record(upstream.service());
      estimates.speeds().recordWorkTime(upstream.id(), report.workTimePercent().getAsDouble());
    }
  }
}
