package org.ragwortpick.standin.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.ragwortpick.standin.load.LoadResults;
import org.ragwortpick.standin.load.StageTotals;

/** Observations of a demonstration and the guarantees that they violate. */
public final class DemonstrationResult {

  private final LoadResults load;
  private final List<String> duplicateCallOutcomes;
  private final long callsAfterTakeOut;
  private final UpstreamReports reports;
  private final String duplicateCallMarker;

  /**
   * Creates a result.
   *
   * @param load outcomes as the callers observed them
   * @param duplicateCallOutcomes outcomes of the two requests of the call that was sent twice
   * @param callsAfterTakeOut number of calls that began in the data centre after the guaranteed
   *     bound
   * @param reports executions of the stand-ins
   * @param duplicateCallMarker marker of the call that was sent twice
   */
  DemonstrationResult(
      LoadResults load,
      List<String> duplicateCallOutcomes,
      long callsAfterTakeOut,
      UpstreamReports reports,
      String duplicateCallMarker) {
    this.load = load;
    this.duplicateCallOutcomes = duplicateCallOutcomes;
    this.callsAfterTakeOut = callsAfterTakeOut;
    this.reports = reports;
    this.duplicateCallMarker = duplicateCallMarker;
  }

  /**
   * Lists the violated guarantees.
   *
   * @return one text per violation
   */
  public List<String> violations() {
    List<String> violations = new ArrayList<>();
    Map<String, Long> runs = reports.executionsByMarker();
    runs.forEach(
        (marker, count) -> {
          if (count > 1) {
            violations.add("call " + marker + " was executed " + count + " times");
          }
        });
    load.callOutcomes()
        .forEach(
            (marker, outcome) -> {
              long count = runs.getOrDefault(marker, 0L);
              if (outcome.equals("not_run") && count > 0) {
                violations.add("call " + marker + " was reported as not run, but was executed");
              }
              if (outcome.equals("done") && count == 0) {
                violations.add("call " + marker + " was reported as done, but was not executed");
              }
            });
    if (load.countOf("wrong answers") > 0) {
      violations.add(
          load.countOf("wrong answers")
              + " responses were incomplete or belonged to another request");
    }
    if (callsAfterTakeOut > 0) {
      violations.add(callsAfterTakeOut + " calls began in the data centre after its take-out");
    }
    if (reports.overloads() > 0) {
      violations.add(
          reports.overloads()
              + " times an upstream in cold start got more requests than its cold limit");
    }
    if (load.countOf("in time") == 0) {
      violations.add("no request was answered by its deadline");
    }
    return violations;
  }

  /**
   * Prints the results as a table.
   *
   * @param out stream for the table
   */
  public void print(PrintStream out) {
    Map<String, Long> runs = reports.executionsByMarker();
    long sent = load.countOf("sent");
    long inTime = load.countOf("in time");
    printLine(out, "requests sent", sent);
    out.printf(
        "%-48s %d (%.1f%%)%n",
        "answered in full by the deadline", inTime, 100.0 * inTime / Math.max(1, sent));
    printAttainment(out, "before the take-out", 0, Demonstration.TAKE_OUT_SECOND);
    printAttainment(
        out, "while it is out", Demonstration.TAKE_OUT_SECOND, Demonstration.RETURN_SECOND);
    printAttainment(out, "after its return", Demonstration.RETURN_SECOND, Long.MAX_VALUE);
    load.counts().forEach((name, count) -> printDetail(out, name, count));
    out.printf(
        "%-48s %d / %d%n", "latency p50 / p95 in ms", load.latencyMs(50), load.latencyMs(95));
    load.stages().forEach((stage, totals) -> printStage(out, stage, totals));
    printLine(out, "bookings answered as done", load.countOf("calls done"));
    printLine(out, "bookings run exactly once", runs.values().stream().filter(n -> n == 1).count());
    printLine(
        out, "bookings run more than once", runs.values().stream().filter(n -> n > 1).count());
    out.printf(
        "%-48s told %s, run %d time(s)%n",
        "one booking sent twice through two entry VMs",
        duplicateCallOutcomes,
        runs.getOrDefault(duplicateCallMarker, 0L));
    printLine(out, "calls to the data centre 5 s after its take-out", callsAfterTakeOut);
    printLine(
        out, "peak load on a cold upstream, % of what it bears", reports.peakColdLoadPercent());
  }

  private void printAttainment(PrintStream out, String part, long from, long to) {
    out.printf("%-48s %.1f%%%n", "  " + part, load.attainmentPercent(from, to));
  }

  private static void printDetail(PrintStream out, String name, long count) {
    if (name.startsWith("refused") || name.startsWith("missed") || name.startsWith("in time ")) {
      printLine(out, "  " + name, count);
    }
  }

  private static void printStage(PrintStream out, String stage, StageTotals totals) {
    double responses = Math.max(1, totals.responses());
    out.printf(
        "%-48s %.2f attempts, %.2f hedges, %.1f tokens, %.0f ms%n",
        "cost of stage " + stage + " per answer",
        totals.attempts() / responses,
        totals.hedges() / responses,
        totals.tokens() / responses,
        totals.elapsedMs() / responses);
  }

  private static void printLine(PrintStream out, String name, long value) {
    out.printf("%-48s %d%n", name, value);
  }
}
