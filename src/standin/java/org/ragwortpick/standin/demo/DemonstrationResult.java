package org.ragwortpick.standin.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.ragwortpick.standin.load.LoadResults;
import org.ragwortpick.standin.load.StageTotals;

/** What a demonstration observed, and the promises that it found broken. */
public final class DemonstrationResult {

  private final LoadResults load;
  private final List<String> twice;
  private final long workAfterTakeOut;
  private final UpstreamReports reports;
  private final String twiceMarker;

  /**
   * Creates a result.
   *
   * @param load what callers saw
   * @param twice what the two callers of the call that was sent twice were told
   * @param workAfterTakeOut calls that began in the data centre after the stated bound
   * @param reports what the stand-ins executed
   * @param twiceMarker marker of the call that was sent twice
   */
  DemonstrationResult(
      LoadResults load,
      List<String> twice,
      long workAfterTakeOut,
      UpstreamReports reports,
      String twiceMarker) {
    this.load = load;
    this.twice = twice;
    this.workAfterTakeOut = workAfterTakeOut;
    this.reports = reports;
    this.twiceMarker = twiceMarker;
  }

  /**
   * Lists the promises that were broken.
   *
   * @return one text each
   */
  public List<String> broken() {
    List<String> broken = new ArrayList<>();
    Map<String, Long> runs = reports.runsByMarker();
    runs.forEach(
        (marker, count) -> {
          if (count > 1) {
            broken.add("call " + marker + " ran " + count + " times");
          }
        });
    load.calls()
        .forEach(
            (marker, told) -> {
              long count = runs.getOrDefault(marker, 0L);
              if (told.equals("not_run") && count > 0) {
                broken.add("call " + marker + " was refused as not run, but ran");
              }
              if (told.equals("done") && count == 0) {
                broken.add("call " + marker + " was answered, but did not run");
              }
            });
    if (load.countOf("wrong answers") > 0) {
      broken.add(load.countOf("wrong answers") + " answers were not whole or not the caller's own");
    }
    if (workAfterTakeOut > 0) {
      broken.add(workAfterTakeOut + " calls began in the data centre after its take-out");
    }
    if (reports.overloads() > 0) {
      broken.add(reports.overloads() + " times a cold upstream got more than it bears");
    }
    if (load.countOf("in time") == 0) {
      broken.add("no request was answered in time");
    }
    return broken;
  }

  /**
   * Prints the table.
   *
   * @param out stream for the table
   */
  public void print(PrintStream out) {
    Map<String, Long> runs = reports.runsByMarker();
    long sent = load.countOf("sent");
    long inTime = load.countOf("in time");
    line(out, "requests sent", sent);
    out.printf(
        "%-48s %d (%.1f%%)%n",
        "answered in full by the deadline", inTime, 100.0 * inTime / Math.max(1, sent));
    attainment(out, "before the take-out", 0, Demonstration.TAKE_OUT_SECOND);
    attainment(out, "while it is out", Demonstration.TAKE_OUT_SECOND, Demonstration.RETURN_SECOND);
    attainment(out, "after its return", Demonstration.RETURN_SECOND, Long.MAX_VALUE);
    load.counts().forEach((name, count) -> printDetail(out, name, count));
    out.printf(
        "%-48s %d / %d%n", "latency p50 / p95 in ms", load.latencyMs(50), load.latencyMs(95));
    load.stages().forEach((stage, totals) -> printStage(out, stage, totals));
    line(out, "bookings answered as done", load.countOf("calls done"));
    line(out, "bookings run exactly once", runs.values().stream().filter(n -> n == 1).count());
    line(out, "bookings run more than once", runs.values().stream().filter(n -> n > 1).count());
    out.printf(
        "%-48s told %s, run %d time(s)%n",
        "one booking sent twice through two entry VMs", twice, runs.getOrDefault(twiceMarker, 0L));
    line(out, "calls to the data centre 5 s after its take-out", workAfterTakeOut);
    line(out, "peak load on a cold upstream, % of what it bears", reports.peakColdPercent());
  }

  private void attainment(PrintStream out, String part, long from, long to) {
    out.printf("%-48s %.1f%%%n", "  " + part, load.attainmentPercent(from, to));
  }

  private static void printDetail(PrintStream out, String name, long count) {
    if (name.startsWith("refused") || name.startsWith("missed") || name.startsWith("in time ")) {
      line(out, "  " + name, count);
    }
  }

  private static void printStage(PrintStream out, String stage, StageTotals totals) {
    double answers = Math.max(1, totals.answers());
    out.printf(
        "%-48s %.2f attempts, %.2f hedges, %.1f tokens, %.0f ms%n",
        "cost of stage " + stage + " per answer",
        totals.attempts() / answers,
        totals.hedges() / answers,
        totals.tokens() / answers,
        totals.elapsedMs() / answers);
  }

  private static void line(PrintStream out, String name, long value) {
    out.printf("%-48s %d%n", name, value);
  }
}
