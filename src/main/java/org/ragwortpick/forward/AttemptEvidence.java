package org.ragwortpick.forward;

import java.time.Clock;
import org.ragwortpick.entry.upstream.BodyFraming;
import org.ragwortpick.entry.upstream.CallFailure;
import org.ragwortpick.entry.upstream.HttpEnd;
import org.ragwortpick.entry.upstream.HttpHead;
import org.ragwortpick.policy.quarantine.ContentQuarantine;
import org.ragwortpick.policy.quarantine.RequestContent;
import org.ragwortpick.sync.Upstream;

/**
 * Derives from one attempt whether the request and the shared parts of its prompt are sound, or may
 * have ended the upstream. An upstream that a part ends lasts only until it begins its response.
 * One that the request ends may wait for long before it runs it, and may end at any time then, so
 * only a complete response shows that the request is sound.
 */
final class AttemptEvidence {

  /** Time after the head of a response within which a harmful part ends its upstream. */
  private static final long MAX_CRASH_DELAY_MS = 250;

  /** Time after the head from which a response that goes on shows that its parts are sound. */
  private static final long SOUND_AFTER_MS = 500;

  private static final long NOT_RECEIVED = -1;

  private final ContentQuarantine quarantine;
  private final RequestContent content;
  private final Upstream upstream;
  private final Clock clock;
  private final long sentAtMs;
  private long headAtMs = NOT_RECEIVED;
  private boolean partsKnownSound;

  /**
   * Creates the evidence of an attempt that is about to be sent.
   *
   * @param quarantine receives the evidence
   * @param content what the request contains
   * @param upstream upstream of the attempt
   * @param clock monotonic clock
   */
  AttemptEvidence(
      ContentQuarantine quarantine, RequestContent content, Upstream upstream, Clock clock) {
    this.quarantine = quarantine;
    this.content = content;
    this.upstream = upstream;
    this.clock = clock;
    this.sentAtMs = clock.millis();
  }

  /**
   * Processes the head of a response to the request.
   *
   * @param head the head
   */
  void onHead(HttpHead head) {
    if (head.isSuccess()) {
      headAtMs = clock.millis();
    }
  }

  /** Processes bytes of the body. */
  void onBytes() {
    boolean partsAreSound = headAtMs != NOT_RECEIVED && sinceHeadMs() > SOUND_AFTER_MS;
    if (partsAreSound && !partsKnownSound) {
      partsKnownSound = true;
      quarantine.recordSound(upstream, content.partsOnly(), sentAtMs);
    }
  }

  /**
   * Processes the end of the attempt, unless it was aborted.
   *
   * @param end the end
   */
  void onEnd(HttpEnd end) {
    if (end instanceof HttpEnd.Completed completed) {
      // The end of a connection may be that of the upstream, so it shows nothing.
      if (headAtMs != NOT_RECEIVED && completed.body().framing() != BodyFraming.CONNECTION_CLOSE) {
        quarantine.recordSound(upstream, content, sentAtMs);
      }
    } else if (end instanceof CallFailure.Broken broken
        && broken.sign() != CallFailure.Broken.Sign.UNUSABLE) {
      boolean justBegun = headAtMs != NOT_RECEIVED && sinceHeadMs() <= MAX_CRASH_DELAY_MS;
      quarantine.recordCrash(upstream, justBegun ? content : content.wholeOnly());
    }
  }

  private long sinceHeadMs() {
    return clock.millis() - headAtMs;
  }
}
