package org.ragwortpick.policy.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.ragwortpick.sync.Crash;
import org.ragwortpick.sync.CrashEvidence;

/**
 * Conclusions from the evidence about the prompt parts of one service. A crash is evidence against
 * all parts of all requests that had just begun to get a response, most of them innocent. The part
 * that is the cause is the one that has most crashes.
 */
final class CrashAssessment {

  /** Number of crashes from which a part is held back. */
  static final int MIN_CRASHES = 3;

  /** Number of crashes from which a request with the part is not repeated. */
  private static final int MIN_SUSPICIOUS_CRASHES = 2;

  /**
   * Time between crashes below which they are considered to be one event. Upstreams that end
   * together, for example with their data centre, have another cause than a part that some of them
   * served, so an event counts only if the part was present at half of its crashes or more, and
   * more than once only if it was present at all.
   */
  private static final long MIN_GAP_MS = 400;

  /** Maximum number of crashes of one event that count. */
  private static final int MAX_CRASHES_PER_EVENT = 2;

  private final Map<String, CrashEvidence> evidenceByPart = new HashMap<>();
  private final Set<String> suspectedUpstreams = new HashSet<>();
  private final List<HeldPart> held;

  /**
   * Assesses evidence.
   *
   * @param evidence evidence about parts of one service
   */
  CrashAssessment(Collection<CrashEvidence> evidence) {
    for (CrashEvidence record : evidence) {
      evidenceByPart.put(record.part(), record);
      record.uncleared().forEach(crash -> suspectedUpstreams.add(crash.upstreamId()));
    }
    this.held = findHeld(evidence);
  }

  private static List<HeldPart> findHeld(Collection<CrashEvidence> evidence) {
    Set<Crash> all =
        evidence.stream()
            .flatMap(record -> record.crashes().stream())
            .map(Crash::asCleared)
            .collect(Collectors.toSet());
    List<Suspect> suspects =
        evidence.stream()
            .map(record -> Suspect.of(record, all))
            .filter(suspect -> !suspect.crashes().isEmpty())
            .sorted(Comparator.comparingInt((Suspect suspect) -> -suspect.crashes().size()))
            .toList();
    List<Suspect> causes = new ArrayList<>();
    for (Suspect suspect : suspects) {
      if (count(suspect.crashesNotExplainedBy(causes)) >= MIN_CRASHES) {
        causes.add(suspect);
      }
    }
    return causes.stream().map(cause -> cause.toHeldPart(suspects)).toList();
  }

  /** Counts crashes, and only some of those that came together. */
  private static int count(Collection<Crash> crashes) {
    long[] timesMs = crashes.stream().mapToLong(Crash::observedAtMs).sorted().toArray();
    int count = 0;
    int inEvent = 0;
    long eventAtMs = Long.MIN_VALUE / 2;
    for (long timeMs : timesMs) {
      if (timeMs - eventAtMs >= MIN_GAP_MS) {
        eventAtMs = timeMs;
        inEvent = 0;
      }
      inEvent++;
      count += inEvent <= MAX_CRASHES_PER_EVENT ? 1 : 0;
    }
    return count;
  }

  /**
   * Lists the parts that are held back.
   *
   * @return the parts, those with most crashes first
   */
  List<HeldPart> held() {
    return held;
  }

  /**
   * Finds a part for which a request is held back.
   *
   * @param parts parts that the request shares with others
   * @return the part; empty if the request may be sent
   */
  Optional<HeldPart> heldAmong(Collection<String> parts) {
    return held.stream()
        .filter(part -> parts.contains(part.part()) && parts.containsAll(part.companions()))
        .findFirst();
  }

  /**
   * Returns whether a request should not be sent to a second upstream.
   *
   * @param parts parts that the request shares with others
   * @return whether several upstreams ended while they responded to requests with one of the parts
   */
  boolean isSuspected(Collection<String> parts) {
    return parts.stream()
        .map(evidenceByPart::get)
        .anyMatch(record -> record != null && count(record.uncleared()) >= MIN_SUSPICIOUS_CRASHES);
  }

  /**
   * Finds the evidence about a part.
   *
   * @param part id of the part
   * @return the evidence, if there is any
   */
  Optional<CrashEvidence> evidenceOf(String part) {
    return Optional.ofNullable(evidenceByPart.get(part));
  }

  /**
   * Returns whether a crash of an upstream counts against a part.
   *
   * @param upstreamId id of the upstream
   * @return whether any incarnation of it has an uncleared crash
   */
  boolean hasUnclearedCrashOf(String upstreamId) {
    return suspectedUpstreams.contains(upstreamId);
  }

  /**
   * Lists all evidence.
   *
   * @return one record for each part
   */
  Collection<CrashEvidence> evidence() {
    return evidenceByPart.values();
  }

  /**
   * Part with uncleared crashes.
   *
   * @param service name of the service
   * @param part id of the part
   * @param crashes crashes that count against it
   */
  private record Suspect(String service, String part, Set<Crash> crashes) {

    private static Suspect of(CrashEvidence evidence, Set<Crash> all) {
      List<Crash> own = evidence.uncleared();
      Set<Crash> counted =
          own.stream()
              .filter(crash -> counts(crash, near(crash, own), near(crash, all).size()))
              .collect(Collectors.toSet());
      return new Suspect(evidence.service(), evidence.part(), counted);
    }

    /** Decides by the crashes of its event, those with the part and all, whether a crash counts. */
    private static boolean counts(Crash crash, List<Crash> withPart, int all) {
      if (withPart.size() >= all) {
        return true;
      }
      boolean isFirst =
          withPart.stream().allMatch(other -> other.observedAtMs() >= crash.observedAtMs());
      return isFirst && 2 * withPart.size() >= all;
    }

    private static List<Crash> near(Crash crash, Collection<Crash> crashes) {
      return crashes.stream()
          .filter(other -> Math.abs(other.observedAtMs() - crash.observedAtMs()) < MIN_GAP_MS)
          .toList();
    }

    /** A part with fewer crashes than a cause was only present at the crashes of that cause. */
    private Set<Crash> crashesNotExplainedBy(List<Suspect> causes) {
      Set<Crash> rest = new HashSet<>(crashes);
      causes.stream()
          .filter(cause -> cause.crashes.size() > crashes.size())
          .forEach(cause -> rest.removeAll(cause.crashes));
      return rest;
    }

    private HeldPart toHeldPart(List<Suspect> suspects) {
      Set<String> companions =
          suspects.stream()
              .filter(other -> other.crashes.equals(crashes))
              .map(Suspect::part)
              .collect(Collectors.toSet());
      List<Long> timesMs = crashes.stream().map(Crash::observedAtMs).sorted().toList();
      return new HeldPart(service, part, companions, timesMs);
    }
  }
}
