package org.ragwortpick.standin.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpick.standin.UpstreamSpec;

/** Reports of the stand-ins on the calls that they have executed. */
final class UpstreamReports {

  private final List<JsonNode> reports;

  private UpstreamReports(List<JsonNode> reports) {
    this.reports = reports;
  }

  /**
   * Reads the reports of all upstreams.
   *
   * @param http HTTP client
   * @param upstreams upstreams whose reports are read
   * @return the reports
   */
  static UpstreamReports read(JsonHttpClient http, List<UpstreamSpec> upstreams) {
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
   * Counts how often an upstream in cold start got more requests than its cold limit.
   *
   * @return number of overloads
   */
  long overloads() {
    return reports.stream().mapToLong(report -> report.path("overloads").asLong()).sum();
  }

  /**
   * Returns the highest load of an upstream in cold start, relative to its cold limit.
   *
   * @return share in percent
   */
  long peakColdLoadPercent() {
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
   * Counts how often each non-idempotent call was executed.
   *
   * @return counts by marker
   */
  Map<String, Long> executionsByMarker() {
    Map<String, Long> executions = new HashMap<>();
    for (JsonNode report : reports) {
      report
          .path("byMarker")
          .fields()
          .forEachRemaining(
              entry -> executions.merge(entry.getKey(), entry.getValue().asLong(), Long::sum));
    }
    return executions;
  }
}
