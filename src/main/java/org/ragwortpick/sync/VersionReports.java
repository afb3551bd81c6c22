package org.ragwortpick.sync;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.ragwortpick.rollout.VersionReport;

/**
 * Newest reports of this VM and of VMs that poll it about services in a rollout. They travel
 * towards the leader only and are sent with each poll, so that a lost message costs no more than
 * the time of one poll.
 */
public final class VersionReports {

  /** Time after which a report without a successor is dropped. */
  private static final long RETENTION_MS = 60_000;

  private final String vm;
  private final long incarnation;
  private final Clock clock;
  private final Map<String, Received> received = new HashMap<>();
  private Supplier<List<VersionReport>> own = List::of;
  private long sequence;

  /**
   * Creates an instance without reports.
   *
   * @param vm name of the local VM
   * @param incarnation incarnation of the local VM
   * @param clock monotonic clock
   */
  public VersionReports(String vm, long incarnation, Clock clock) {
    this.vm = vm;
    this.incarnation = incarnation;
    this.clock = clock;
  }

  /**
   * Sets the source of the reports of this VM.
   *
   * @param source supplies the present reports, without a sender
   */
  public synchronized void setOwn(Supplier<List<VersionReport>> source) {
    own = source;
  }

  /**
   * Adds the reports of a poll.
   *
   * @param reports reports of the polling VM and of VMs that poll it
   */
  public synchronized void receive(Collection<VersionReport> reports) {
    for (VersionReport report : reports) {
      String key = report.vm() + "/" + report.service();
      Received known = received.get(key);
      if (known == null || report.isNewerThan(known.report)) {
        received.put(key, new Received(report, clock.millis()));
      }
    }
  }

  /**
   * Returns the reports to send to the source of this VM.
   *
   * @return the reports of this VM and those that were received since the last call
   */
  public synchronized List<VersionReport> takeForSource() {
    List<VersionReport> reports = new ArrayList<>(ownReports());
    for (Received each : received.values()) {
      if (!each.taken) {
        each.taken = true;
        reports.add(each.report);
      }
    }
    removeOld();
    return reports;
  }

  /**
   * Returns the newest reports of all VMs, on the leader.
   *
   * @return the reports, those of this VM included
   */
  public synchronized List<VersionReport> newest() {
    removeOld();
    List<VersionReport> reports = new ArrayList<>(ownReports());
    received.values().forEach(each -> reports.add(each.report));
    return reports;
  }

  private List<VersionReport> ownReports() {
    sequence++;
    return own.get().stream().map(report -> report.from(vm, incarnation, sequence)).toList();
  }

  private void removeOld() {
    long oldestMs = clock.millis() - RETENTION_MS;
    received.values().removeIf(each -> each.atMs < oldestMs);
  }

  private static final class Received {
    private final VersionReport report;
    private final long atMs;
    private boolean taken;

    Received(VersionReport report, long atMs) {
      this.report = report;
      this.atMs = atMs;
    }
  }
}
