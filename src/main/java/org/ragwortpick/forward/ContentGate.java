package org.ragwortpick.forward;

import java.time.Clock;
import java.util.Optional;
import org.ragwortpick.policy.quarantine.ContentDecision;
import org.ragwortpick.policy.quarantine.ContentQuarantine;
import org.ragwortpick.policy.quarantine.HeldContent;
import org.ragwortpick.policy.quarantine.RequestContent;
import org.ragwortpick.sync.Upstream;

/** Decides for one request whether it may be sent, by what it contains. */
final class ContentGate {

  private final ContentQuarantine quarantine;
  private final String service;
  private final RequestContent content;
  private boolean trial;

  /**
   * Creates the gate of one request.
   *
   * @param quarantine knows what ended upstreams
   * @param service service that is to run the request
   * @param content what the request contains
   */
  ContentGate(ContentQuarantine quarantine, String service, RequestContent content) {
    this.quarantine = quarantine;
    this.service = service;
    this.content = content;
  }

  /**
   * Returns what the request is held back for. A request that was admitted as a trial stays
   * admitted.
   *
   * @return the content; empty if the request may be sent
   */
  Optional<HeldContent> held() {
    if (trial) {
      return Optional.empty();
    }
    ContentDecision decision = quarantine.decide(service, content);
    trial = decision instanceof ContentDecision.Trial;
    return decision instanceof ContentDecision.Held held
        ? Optional.of(held.content())
        : Optional.empty();
  }

  /**
   * Returns whether the request should not be sent to another upstream after a failure.
   *
   * @return whether it is a trial, or may have ended several upstreams
   */
  boolean isSuspected() {
    return trial || quarantine.isSuspected(service, content);
  }

  /**
   * Creates the evidence of an attempt that is about to be sent.
   *
   * @param upstream upstream of the attempt
   * @param clock monotonic clock
   * @return the evidence
   */
  AttemptEvidence evidenceOf(Upstream upstream, Clock clock) {
    return new AttemptEvidence(quarantine, content, upstream, clock);
  }
}
