package org.ragwortpick.policy.quarantine;

import java.time.Clock;
import java.util.Collection;
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
 * Holds back requests with a prompt part under which upstreams of their service ended. The evidence
 * is shared by all VMs. Confined to one thread.
 *
 * <p>Guards against a prompt that ends each upstream that responds to it, and that arrives again
 * and again at any VM, in requests that differ otherwise.
 */
public final class PartQuarantine {

  private static final Logger LOG = Logger.getLogger(PartQuarantine.class);

  /**
   * Time for which a sound response clears a part, also of crashes after it: a part that ends
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

  /** Time within which the outcome of a trial is known. */
  private static final long TRIAL_INTERVAL_MS = 10_000;

  private final CrashEvidenceTable table;
  private final String localVm;
  private final Supplier<List<String>> entryVms;
  private final Clock clock;
  private final RecentParts recentParts = new RecentParts();
  private final Map<String, Long> nextTrialAtMs = new HashMap<>();
  private Map<String, CrashAssessment> assessments = Map.of();
  private long assessedVersion;

  /**
   * Creates the quarantine of one VM.
   *
   * @param table evidence that all VMs share
   * @param localVm name of the local VM
   * @param entryVms names of the VMs that send requests to upstreams
   * @param clock monotonic clock
   */
  public PartQuarantine(
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
   * @param parts ids of the parts that its prompt shares with others
   * @return the decision; a trial is granted once
   */
  public PartDecision decide(String service, Collection<String> parts) {
    Optional<HeldPart> held = assessmentOf(service).flatMap(known -> known.heldAmong(parts));
    if (held.isEmpty()) {
      return new PartDecision.Admitted();
    }
    return mayTry(held.get())
        ? new PartDecision.Trial(held.get())
        : new PartDecision.Held(held.get());
  }

  /** One VM sends the trials, one after the other, so that they cannot end many upstreams. */
  private boolean mayTry(HeldPart part) {
    long nowMs = clock.millis();
    String key = keyOf(part);
    boolean due =
        nowMs >= part.trialAtMs() && nowMs >= nextTrialAtMs.getOrDefault(key, Long.MIN_VALUE);
    if (!due || !isTrialVm(key)) {
      return false;
    }
    nextTrialAtMs.put(key, nowMs + TRIAL_INTERVAL_MS);
    logChange("trial of a prompt part", part);
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
   * @param parts ids of the parts that its prompt shares with others
   * @return whether one of the parts may have ended several upstreams
   */
  public boolean isSuspected(String service, Collection<String> parts) {
    return assessmentOf(service).filter(known -> known.isSuspected(parts)).isPresent();
  }

  /**
   * Records that the connection of a request with a prompt broke.
   *
   * @param upstream the upstream, which may have ended
   * @param parts ids of the parts that the prompt shares with others, if the upstream had just
   *     begun its response; otherwise empty
   */
  public void recordCrash(Upstream upstream, Collection<String> parts) {
    long nowMs = clock.millis();
    Optional<CrashAssessment> known = assessmentOf(upstream.service());
    Crash crash = new Crash(upstream.id(), upstream.incarnation(), nowMs, false);
    table.add(CrashEvidence.ofService(upstream.service(), crash));
    for (String part : parts) {
      boolean sound = recentParts.isSoundSince(upstream.service(), part, nowMs - SOUND_MS);
      boolean hasRoom =
          countParts() < MAX_PARTS || known.flatMap(k -> k.evidenceOf(part)).isPresent();
      if (!sound && hasRoom) {
        table.add(new CrashEvidence(upstream.service(), part, List.of(crash)));
      }
    }
  }

  private int countParts() {
    return assessments.values().stream().mapToInt(known -> known.evidence().size()).sum();
  }

  /**
   * Records a complete response, or one that has lasted longer than a harmful part lets an upstream
   * last.
   *
   * @param upstream upstream that responds
   * @param parts ids of the parts that the prompt of the request shares with others
   * @param sentAtMs monotonic time in milliseconds at which the request was sent
   */
  public void recordSound(Upstream upstream, Collection<String> parts, long sentAtMs) {
    long nowMs = clock.millis();
    parts.forEach(part -> recentParts.recordSound(upstream.service(), part, nowMs));
    assessmentOf(upstream.service())
        .ifPresent(
            known -> {
              parts.stream().flatMap(part -> known.evidenceOf(part).stream()).forEach(this::clear);
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
        table.add(new CrashEvidence(evidence.service(), evidence.part(), survived));
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
   * Lists the parts that are held back.
   *
   * @return parts of all services
   */
  public List<HeldPart> held() {
    refresh();
    return assessments.values().stream().flatMap(known -> known.held().stream()).toList();
  }

  /**
   * Clears all evidence about a part, on all VMs.
   *
   * @param service name of the service
   * @param part id of the part
   * @return false if there is no such evidence
   */
  public boolean release(String service, String part) {
    Optional<CrashEvidence> evidence =
        assessmentOf(service).flatMap(known -> known.evidenceOf(part));
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
    List<HeldPart> before =
        assessments.values().stream().flatMap(known -> known.held().stream()).toList();
    assessments =
        table.all().stream()
            .collect(
                Collectors.groupingBy(
                    CrashEvidence::service,
                    Collectors.collectingAndThen(Collectors.toList(), CrashAssessment::new)));
    onAssessed(before);
    clearKnownSoundParts();
  }

  /** Clears parts that other VMs suspect, if the local VM has seen sound responses. */
  private void clearKnownSoundParts() {
    for (CrashAssessment known : assessments.values()) {
      for (CrashEvidence evidence : known.evidence()) {
        long sinceMs = evidence.lastCrashAtMs() - SOUND_MS;
        if (recentParts.isSoundSince(evidence.service(), evidence.part(), sinceMs)) {
          clear(evidence);
        }
      }
    }
  }

  private void onAssessed(List<HeldPart> before) {
    List<HeldPart> after =
        assessments.values().stream().flatMap(known -> known.held().stream()).toList();
    Set<String> heldBefore = keysOf(before);
    Set<String> heldAfter = keysOf(after);
    nextTrialAtMs.keySet().retainAll(heldAfter);
    after.stream()
        .filter(part -> !heldBefore.contains(keyOf(part)))
        .forEach(part -> logChange("prompt part held back", part));
    before.stream()
        .filter(part -> !heldAfter.contains(keyOf(part)))
        .forEach(part -> logChange("prompt part released", part));
  }

  private static String keyOf(HeldPart part) {
    return part.service() + "/" + part.part();
  }

  private static Set<String> keysOf(List<HeldPart> parts) {
    return new HashSet<>(parts.stream().map(PartQuarantine::keyOf).toList());
  }

  private void logChange(String change, HeldPart part) {
    DecisionLine.of(change)
        .with("service", part.service())
        .with("part", part.part())
        .with("companions", String.join(",", part.companions()))
        .with("crashes", part.crashes())
        .with("lastCrashAgeMs", clock.millis() - part.lastCrashAtMs())
        .with("trialInMs", part.trialAtMs() - clock.millis())
        .info(LOG);
  }
}
