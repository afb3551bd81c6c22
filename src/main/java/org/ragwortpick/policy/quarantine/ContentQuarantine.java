package org.ragwortpick.policy.quarantine;

import java.time.Clock;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.policy.select.Rendezvous;
import org.ragwortpick.sync.Crash;
import org.ragwortpick.sync.CrashEvidence;
import org.ragwortpick.sync.CrashEvidenceTable;
import org.ragwortpick.sync.Upstream;

/**
 * Holds back requests under which upstreams of their service ended: those with a certain prompt
 * part, and those that are the same as a whole. The evidence is shared by all VMs. Confined to one
 * thread.
 *
 * <p>Guards against a prompt part that ends each upstream that responds to it, in requests that
 * differ otherwise, and against a request that ends each upstream that runs it and comes again
 * under another id, at any VM.
 */
public final class ContentQuarantine {

  private static final Logger LOG = Logger.getLogger(ContentQuarantine.class);

  /**
   * Time for which a sound response clears a content, also of crashes after it: one that ends
   * upstreams has no sound responses.
   */
  private static final long SOUND_MS = 10_000;

  /**
   * Time after a crash within which a response of the same incarnation shows that the upstream did
   * not end. Later ones may come from a new process that has not announced itself yet.
   */
  private static final long SURVIVAL_MS = 1_500;

  /** Maximum number of parts with evidence. */
  private static final int MAX_PARTS = 512;

  /** Number of whole requests with evidence from which the oldest with one crash are forgotten. */
  private static final int MAX_REQUESTS = 2_048;

  /** Number of whole requests that are kept then. */
  private static final int KEPT_REQUESTS = 1_536;

  /** Time within which the outcome of a trial is known. */
  private static final long TRIAL_INTERVAL_MS = 10_000;

  private final CrashEvidenceTable table;
  private final String localVm;
  private final Supplier<List<String>> entryVms;
  private final Clock clock;
  private final RecentlySound soundParts = new RecentlySound();
  private final RecentlySound soundRequests = new RecentlySound();
  private final Map<String, Long> nextTrialAtMs = new HashMap<>();
  private Map<String, CrashAssessment> assessments = Map.of();
  private long assessedVersion;
  private int requestsAddedSinceAssessed;

  /**
   * Creates the quarantine of one VM.
   *
   * @param table evidence that all VMs share
   * @param localVm name of the local VM
   * @param entryVms names of the VMs that send requests to upstreams
   * @param clock monotonic clock
   */
  public ContentQuarantine(
      CrashEvidenceTable table, String localVm, Supplier<List<String>> entryVms, Clock clock) {
    this.table = table;
    this.localVm = localVm;
    this.entryVms = entryVms;
    this.clock = clock;
  }

  /**
   * Decides whether a request may be sent.
   *
   * @param service name of the service
   * @param request what the request contains
   * @return the decision; a trial is granted once
   */
  public ContentDecision decide(String service, RequestContent request) {
    Optional<HeldContent> held = assessmentOf(service).flatMap(known -> known.heldIn(request));
    if (held.isEmpty()) {
      return new ContentDecision.Admitted();
    }
    return mayTry(held.get())
        ? new ContentDecision.Trial(held.get())
        : new ContentDecision.Held(held.get());
  }

  /** One VM sends the trials, one after the other, so that they cannot end many upstreams. */
  private boolean mayTry(HeldContent content) {
    long nowMs = clock.millis();
    String key = keyOf(content);
    boolean due =
        nowMs >= content.trialAtMs() && nowMs >= nextTrialAtMs.getOrDefault(key, Long.MIN_VALUE);
    if (!due || !isTrialVm(key)) {
      return false;
    }
    nextTrialAtMs.put(key, nowMs + TRIAL_INTERVAL_MS);
    logChange("trial of held content", content);
    return true;
  }

  private boolean isTrialVm(String key) {
    long localScore = Rendezvous.score(key, localVm);
    return entryVms.get().stream().noneMatch(vm -> Rendezvous.score(key, vm) > localScore);
  }

  /**
   * Returns whether a request that failed should not be sent to another upstream.
   *
   * @param service name of the service
   * @param request what the request contains
   * @return whether one of its contents may have ended several upstreams
   */
  public boolean isSuspected(String service, RequestContent request) {
    return assessmentOf(service).filter(known -> known.isSuspected(request)).isPresent();
  }

  /**
   * Records that the connection of a request broke.
   *
   * @param upstream the upstream, which may have ended
   * @param blamed contents of the request that may be the cause
   */
  public void recordCrash(Upstream upstream, RequestContent blamed) {
    long nowMs = clock.millis();
    Crash crash = new Crash(upstream.id(), upstream.incarnation(), nowMs, false);
    table.add(CrashEvidence.ofService(upstream.service(), crash));
    blamed.parts().stream()
        .filter(part -> !isSound(upstream.service(), part, nowMs))
        .filter(part -> hasRoomFor(upstream.service(), part))
        .forEach(part -> add(upstream.service(), part, crash));
    blamed
        .requestId()
        .filter(request -> !isSound(upstream.service(), request, nowMs))
        .ifPresent(
            request -> {
              makeRoomForRequest();
              add(upstream.service(), request, crash);
            });
  }

  /** Whether a sound response was seen so shortly before a crash that it speaks for the content. */
  private boolean isSound(String service, String content, long crashAtMs) {
    RecentlySound seen = RequestContent.isRequest(content) ? soundRequests : soundParts;
    return seen.isSoundSince(service, content, crashAtMs - SOUND_MS);
  }

  private void add(String service, String content, Crash crash) {
    table.add(new CrashEvidence(service, content, List.of(crash)));
  }

  private boolean hasRoomFor(String service, String part) {
    return countParts() < MAX_PARTS
        || Optional.ofNullable(assessments.get(service))
            .flatMap(known -> known.evidenceOf(part))
            .isPresent();
  }

  private int countParts() {
    return assessments.values().stream()
        .mapToInt(known -> known.evidence().size() - known.requests())
        .sum();
  }

  /**
   * Makes room for a request, since unlike a part it must be found whatever else was cut off. Many
   * are forgotten at once, because finding them takes a pass over all evidence.
   */
  private void makeRoomForRequest() {
    requestsAddedSinceAssessed++;
    if (assessedRequests() + requestsAddedSinceAssessed <= MAX_REQUESTS) {
      return;
    }
    refresh();
    assessments.values().stream()
        .flatMap(known -> known.evidence().stream())
        .filter(evidence -> RequestContent.isRequest(evidence.content()))
        .filter(evidence -> evidence.uncleared().size() <= 1)
        .sorted(Comparator.comparingLong(CrashEvidence::lastCrashAtMs))
        .limit(Math.max(0, assessedRequests() - KEPT_REQUESTS))
        .forEach(table::forget);
  }

  private int assessedRequests() {
    return assessments.values().stream().mapToInt(CrashAssessment::requests).sum();
  }

  /**
   * Records a complete response, or one that has lasted longer than a harmful part lets an upstream
   * last.
   *
   * @param upstream upstream that responds
   * @param sound contents of the request that the response shows to be sound
   * @param sentAtMs monotonic time in milliseconds at which the request was sent
   */
  public void recordSound(Upstream upstream, RequestContent sound, long sentAtMs) {
    long nowMs = clock.millis();
    sound.parts().forEach(part -> soundParts.recordSound(upstream.service(), part, nowMs));
    sound.requestId().ifPresent(id -> soundRequests.recordSound(upstream.service(), id, nowMs));
    assessmentOf(upstream.service())
        .ifPresent(
            known -> {
              known.evidenceAbout(sound).forEach(this::clear);
              if (known.hasUnclearedCrashOf(upstream.id())) {
                clearSurvivedCrashes(known, upstream, sentAtMs);
              }
            });
  }

  private void clear(CrashEvidence evidence) {
    if (!evidence.uncleared().isEmpty()) {
      table.add(evidence.asCleared());
    }
  }

  private void clearSurvivedCrashes(CrashAssessment known, Upstream upstream, long sentAtMs) {
    for (CrashEvidence evidence : known.evidence()) {
      List<Crash> survived =
          evidence.uncleared().stream()
              .filter(crash -> isSurvived(crash, upstream, sentAtMs))
              .map(Crash::asCleared)
              .toList();
      if (!survived.isEmpty()) {
        table.add(new CrashEvidence(evidence.service(), evidence.content(), survived));
      }
    }
  }

  private static boolean isSurvived(Crash crash, Upstream upstream, long sentAtMs) {
    return crash.upstreamId().equals(upstream.id())
        && crash.incarnation() == upstream.incarnation()
        && sentAtMs > crash.observedAtMs()
        && sentAtMs < crash.observedAtMs() + SURVIVAL_MS;
  }

  /**
   * Lists the contents that are held back.
   *
   * @return contents of all services
   */
  public List<HeldContent> held() {
    refresh();
    return assessments.values().stream().flatMap(known -> known.held().stream()).toList();
  }

  /**
   * Clears all evidence about a content, on all VMs.
   *
   * @param service name of the service
   * @param content id of the content
   * @return false if there is no such evidence
   */
  public boolean release(String service, String content) {
    Optional<CrashEvidence> evidence =
        assessmentOf(service).flatMap(known -> known.evidenceOf(content));
    evidence.ifPresent(this::clear);
    return evidence.isPresent();
  }

  private Optional<CrashAssessment> assessmentOf(String service) {
    refresh();
    return Optional.ofNullable(assessments.get(service));
  }

  private void refresh() {
    long version = table.version();
    if (version == assessedVersion) {
      return;
    }
    assessedVersion = version;
    requestsAddedSinceAssessed = 0;
    List<HeldContent> before =
        assessments.values().stream().flatMap(known -> known.held().stream()).toList();
    assessments =
        table.all().stream()
            .collect(
                Collectors.groupingBy(
                    CrashEvidence::service,
                    Collectors.collectingAndThen(Collectors.toList(), CrashAssessment::new)));
    onAssessed(before);
    clearKnownSound();
  }

  /** Clears what other VMs suspect, if the local VM has seen sound responses. */
  private void clearKnownSound() {
    for (CrashAssessment known : assessments.values()) {
      for (CrashEvidence evidence : known.evidence()) {
        if (isSound(evidence.service(), evidence.content(), evidence.lastCrashAtMs())) {
          clear(evidence);
        }
      }
    }
  }

  private void onAssessed(List<HeldContent> before) {
    List<HeldContent> after =
        assessments.values().stream().flatMap(known -> known.held().stream()).toList();
    Set<String> heldBefore = keysOf(before);
    Set<String> heldAfter = keysOf(after);
    nextTrialAtMs.keySet().retainAll(heldAfter);
    after.stream()
        .filter(content -> !heldBefore.contains(keyOf(content)))
        .forEach(content -> logChange("content held back", content));
    before.stream()
        .filter(content -> !heldAfter.contains(keyOf(content)))
        .forEach(content -> logChange("content released", content));
  }

  private static String keyOf(HeldContent content) {
    return content.service() + "/" + content.content();
  }

  private static Set<String> keysOf(List<HeldContent> contents) {
    return new HashSet<>(contents.stream().map(ContentQuarantine::keyOf).toList());
  }

  private void logChange(String change, HeldContent content) {
    DecisionLine.of(change)
        .with("service", content.service())
        .with("content", content.content())
        .with("companions", String.join(",", content.companions()))
        .with("crashes", content.crashes())
        .with("lastCrashAgeMs", clock.millis() - content.lastCrashAtMs())
        .with("trialInMs", content.trialAtMs() - clock.millis())
        .info(LOG);
  }
}
