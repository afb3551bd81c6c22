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
import java.util.stream.Stream;
import org.ragwortpick.sync.Crash;
import org.ragwortpick.sync.CrashEvidence;

/**
 * Conclusions from the evidence about the contents of requests to one service. A crash is evidence
 * against all requests that the upstream had not answered, and against all parts of those that had
 * just begun to get a response, most of them innocent. The part that is the cause has most crashes.
 * A whole request is judged by itself: one that is sound is answered now and then, and most do not
 * come so often.
 */
final class CrashAssessment {

  /** Number of crashes from which a content is held back. */
  static final int MIN_CRASHES = 3;

  /** Number of crashes from which a request with the content is not repeated. */
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

  private final Map<String, CrashEvidence> evidenceByContent = new HashMap<>();
  private final Set<String> suspectedUpstreams = new HashSet<>();
  private final List<HeldContent> held;
  private int requests;

  /**
   * Assesses evidence.
   *
   * @param evidence evidence about contents of one service
   */
  CrashAssessment(Collection<CrashEvidence> evidence) {
    for (CrashEvidence record : evidence) {
      evidenceByContent.put(record.content(), record);
      requests += RequestContent.isRequest(record.content()) ? 1 : 0;
      record.uncleared().forEach(crash -> suspectedUpstreams.add(crash.upstreamId()));
    }
    this.held = findHeld(evidence);
  }

  private static List<HeldContent> findHeld(Collection<CrashEvidence> evidence) {
    Set<Crash> all =
        evidence.stream()
            .flatMap(record -> record.crashes().stream())
            .map(Crash::asCleared)
            .collect(Collectors.toSet());
    List<Suspect> suspects =
        evidence.stream()
            .filter(record -> record.uncleared().size() >= MIN_CRASHES)
            .map(record -> Suspect.of(record, all))
            .filter(suspect -> !suspect.crashes().isEmpty())
            .sorted(Comparator.comparingInt((Suspect suspect) -> -suspect.crashes().size()))
            .toList();
    List<Suspect> causes = new ArrayList<>();
    for (Suspect suspect : suspects) {
      if (suspect.isRequest() || count(suspect.crashesNotExplainedBy(causes)) >= MIN_CRASHES) {
        causes.add(suspect);
      }
    }
    return causes.stream().map(cause -> cause.toHeldContent(suspects)).toList();
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
   * Lists the contents that are held back.
   *
   * @return the contents, those with most crashes first
   */
  List<HeldContent> held() {
    return held;
  }

  /**
   * Finds a content for which a request is held back.
   *
   * @param request what the request contains
   * @return the content; empty if the request may be sent
   */
  Optional<HeldContent> heldIn(RequestContent request) {
    return held.stream()
        .filter(content -> request.contains(content.content()))
        .filter(content -> content.companions().stream().allMatch(request::contains))
        .findFirst();
  }

  /**
   * Returns whether a request should not be sent to a second upstream.
   *
   * @param request what the request contains
   * @return whether several upstreams ended under requests with one of its contents
   */
  boolean isSuspected(RequestContent request) {
    return evidenceAbout(request).anyMatch(CrashAssessment::isSuspicious);
  }

  private static boolean isSuspicious(CrashEvidence record) {
    int crashes =
        RequestContent.isRequest(record.content())
            ? record.uncleared().size()
            : count(record.uncleared());
    return crashes >= MIN_SUSPICIOUS_CRASHES;
  }

  /**
   * Finds the evidence about what a request contains.
   *
   * @param request what the request contains
   * @return the evidence, if there is any
   */
  Stream<CrashEvidence> evidenceAbout(RequestContent request) {
    Stream<String> whole = requests > 0 ? request.requestId().stream() : Stream.empty();
    return Stream.concat(request.parts().stream(), whole)
        .flatMap(content -> evidenceOf(content).stream());
  }

  /**
   * Finds the evidence about a content.
   *
   * @param content id of the content
   * @return the evidence, if there is any
   */
  Optional<CrashEvidence> evidenceOf(String content) {
    return Optional.ofNullable(evidenceByContent.get(content));
  }

  /**
   * Counts the whole requests with evidence.
   *
   * @return number of records
   */
  int requests() {
    return requests;
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
   * @return one record for each content
   */
  Collection<CrashEvidence> evidence() {
    return evidenceByContent.values();
  }

  /**
   * Content with uncleared crashes.
   *
   * @param service name of the service
   * @param content id of the content
   * @param crashes crashes that count against it
   */
  private record Suspect(String service, String content, Set<Crash> crashes) {

    private static Suspect of(CrashEvidence evidence, Set<Crash> all) {
      List<Crash> own = evidence.uncleared();
      if (RequestContent.isRequest(evidence.content())) {
        return new Suspect(evidence.service(), evidence.content(), Set.copyOf(own));
      }
      Set<Crash> counted =
          own.stream()
              .filter(crash -> counts(crash, near(crash, own), near(crash, all).size()))
              .collect(Collectors.toSet());
      return new Suspect(evidence.service(), evidence.content(), counted);
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

    /** A content with fewer crashes than a cause was only present at the crashes of that cause. */
    private Set<Crash> crashesNotExplainedBy(List<Suspect> causes) {
      Set<Crash> rest = new HashSet<>(crashes);
      causes.stream()
          .filter(cause -> cause.crashes.size() > crashes.size())
          .forEach(cause -> rest.removeAll(cause.crashes));
      return rest;
    }

    private boolean isRequest() {
      return RequestContent.isRequest(content);
    }

    private HeldContent toHeldContent(List<Suspect> suspects) {
      Set<String> companions =
          isRequest()
              ? Set.of()
              : suspects.stream()
                  .filter(other -> other.crashes.equals(crashes))
                  .map(Suspect::content)
                  .collect(Collectors.toSet());
      List<Long> timesMs = crashes.stream().map(Crash::observedAtMs).sorted().toList();
      return new HeldContent(service, content, companions, timesMs);
    }
  }
}
