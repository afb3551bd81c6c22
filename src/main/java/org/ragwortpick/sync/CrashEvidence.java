package org.ragwortpick.sync;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Crashes of the upstreams of one service during requests with one content: a prompt part, or a
 * whole request. One record of a service lists its crashes whatever the requests; it is evidence
 * against no content.
 *
 * @param service name of the service
 * @param content id of the content; empty for the record of all crashes of the service
 * @param crashes the crashes, ordered by upstream and incarnation
 */
public record CrashEvidence(String service, String content, List<Crash> crashes) {

  /** Bounds a record; far more crashes than any decision needs. */
  private static final int MAX_CRASHES = 32;

  private static final Comparator<Crash> ORDER =
      Comparator.comparing(Crash::upstreamId).thenComparingLong(Crash::incarnation);

  /** Copies and orders the crashes; the newest are kept if there are too many. */
  public CrashEvidence {
    crashes =
        crashes.stream()
            .sorted(Comparator.comparingLong(Crash::observedAtMs).reversed())
            .limit(MAX_CRASHES)
            .sorted(ORDER)
            .toList();
  }

  /**
   * Creates the record of a crash whatever the requests.
   *
   * @param service name of the service
   * @param crash the crash
   * @return a record that counts against no content
   */
  public static CrashEvidence ofService(String service, Crash crash) {
    return new CrashEvidence(service, "", List.of(crash.asCleared()));
  }

  /**
   * Returns whether this is the record of all crashes of the service.
   *
   * @return whether the record is about no content
   */
  public boolean isOfService() {
    return content.isEmpty();
  }

  /**
   * Lists the crashes that count against the content.
   *
   * @return the crashes that were not cleared
   */
  public List<Crash> uncleared() {
    return crashes.stream().filter(crash -> !crash.cleared()).toList();
  }

  /**
   * Clears all crashes.
   *
   * @return the evidence without a crash that counts against the content
   */
  public CrashEvidence asCleared() {
    return new CrashEvidence(service, content, crashes.stream().map(Crash::asCleared).toList());
  }

  /**
   * Combines two records about the same content. A crash that one of them has cleared is cleared.
   *
   * @param other the other record
   * @return all crashes of both
   */
  public CrashEvidence merge(CrashEvidence other) {
    List<Crash> merged = new ArrayList<>(crashes);
    for (Crash incoming : other.crashes) {
      int index = indexOf(merged, incoming);
      if (index < 0) {
        merged.add(incoming);
      } else if (incoming.cleared()) {
        merged.set(index, merged.get(index).asCleared());
      }
    }
    return new CrashEvidence(service, content, merged);
  }

  private static int indexOf(List<Crash> crashes, Crash wanted) {
    for (int i = 0; i < crashes.size(); i++) {
      if (crashes.get(i).isSameAs(wanted)) {
        return i;
      }
    }
    return -1;
  }

  /**
   * Returns the time of the newest crash.
   *
   * @return monotonic time of the local VM in milliseconds; {@link Long#MIN_VALUE} without crashes
   */
  public long lastCrashAtMs() {
    return crashes.stream().mapToLong(Crash::observedAtMs).max().orElse(Long.MIN_VALUE);
  }
}
