package org.ragwortpick.standin.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpick.standin.UpstreamSpec;

/** What the stand-ins say about the calls that they executed. */
final class UpstreamReports {

  private final List<JsonNode> reports;

  private UpstreamReports(List<JsonNode> reports) {
    this.reports = reports;
  }

  /**
   * Asks all upstreams.
   *
   * @param http HTTP client
   * @param upstreams upstreams to ask
   * @return the reports
   */
  static UpstreamReports read(HttpJson http, List<UpstreamSpec> upstreams) {
    return new UpstreamReports(
        upstreams.stream().map(spec -> http.get(spec.address(), "/stand-in/report")).toList());
  }

  /**
   * Counts the calls executed in a data centre.
   *
   * @param dataCentre name of the data centre
   * @return number of calls
   */
  long executedIn(String dataCentre) {
    return reports.stream()
        .filter(report -> report.path("dataCentre").asText().equals(dataCentre))
        .mapToLong(report -> report.path("executed").asLong())
        .sum();
  }

  /**
   * Counts how often upstreams in cold start got more than they bear.
   *
   * @return number of overloads
   */
  long overloads() {
    return reports.stream().mapToLong(report -> report.path("overloads").asLong()).sum();
  }

  /**
   * Finds the highest load put on an upstream in cold start beside what it bears.
   *
   * @return share in percent
   */
  long peakColdPercent() {
    return reports.stream()
        .mapToLong(
            report ->
                100
                    * report.path("peakColdInFlight").asLong()
                    / Math.max(1, report.path("coldLimit").asLong()))
        .max()
        .orElse(0);
  }

  /**
   * Counts how often each non-idempotent call ran.
   *
   * @return counts by marker
   */
  Map<String, Long> runsByMarker() {
    Map<String, Long> runs = new HashMap<>();
    for (JsonNode report : reports) {
      report
          .path("byMarker")
          .fields()
          .forEachRemaining(
              entry -> runs.merge(entry.getKey(), entry.getValue().asLong(), Long::sum));
    }
    return runs;
  }
}
