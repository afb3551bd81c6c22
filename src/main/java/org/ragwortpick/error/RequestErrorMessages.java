package org.ragwortpick.error;

import org.ragwortpick.error.RequestError.BadDeadline;
import org.ragwortpick.error.RequestError.BadHeader;
import org.ragwortpick.error.RequestError.BodyTooLarge;
import org.ragwortpick.error.RequestError.CallNotRun;
import org.ragwortpick.error.RequestError.CallerGone;
import org.ragwortpick.error.RequestError.DeadlineMissed;
import org.ragwortpick.error.RequestError.DeadlineTooShort;
import org.ragwortpick.error.RequestError.Draining;
import org.ragwortpick.error.RequestError.IdempotencyKeyExpired;
import org.ragwortpick.error.RequestError.IdempotencyKeyMissing;
import org.ragwortpick.error.RequestError.IdempotencyKeyReused;
import org.ragwortpick.error.RequestError.Malformed;
import org.ragwortpick.error.RequestError.NoSuchResource;
import org.ragwortpick.error.RequestError.NoUpstream;
import org.ragwortpick.error.RequestError.NotInForce;
import org.ragwortpick.error.RequestError.OutcomeUnknown;
import org.ragwortpick.error.RequestError.Overloaded;
import org.ragwortpick.error.RequestError.StageFailed;
import org.ragwortpick.error.RequestError.StageRejected;
import org.ragwortpick.error.RequestError.UnknownCall;
import org.ragwortpick.error.RequestError.UnknownName;

/** Texts and HTTP statuses of the request errors. */
final class RequestErrorMessages {

  private static final String RESEND = "send the request again";
  private static final String ELSEWHERE = "send the request to one of the addresses";
  private static final String ASK_STATUS = "ask for the status with GET /v1/calls/{key}";

  private RequestErrorMessages() {}

  /**
   * Returns the texts of an error.
   *
   * @param error the error
   * @return status, message and remedy
   */
  static Text of(RequestError error) {
    if (error instanceof Malformed e) {
      return new Text(400, "the request is malformed: " + e.detail(), "correct the request");
    }
    if (error instanceof BodyTooLarge e) {
      return new Text(413, "the body is too large", "send at most " + e.limitBytes() + " bytes");
    }
    if (error instanceof BadHeader e) {
      return new Text(
          400,
          "header " + e.header() + " is absent or not valid",
          "send one value of 1 to " + e.maxLength() + " printable ASCII characters");
    }
    if (error instanceof BadDeadline e) {
      return new Text(
          400, "the deadline is not valid", "send Deadline-Ms between 1 and " + e.maxMs());
    }
    if (error instanceof UnknownName e) {
      return new Text(
          404,
          "the inventory lists no " + e.type() + " " + e.name(),
          "correct the name or ask the operators to add the " + e.type());
    }
    if (error instanceof NoSuchResource e) {
      return new Text(
          404, "there is no " + e.method() + " " + e.path(), "use a path of the caller API");
    }
    return ofCall(error);
  }

  private static Text ofCall(RequestError error) {
    if (error instanceof IdempotencyKeyMissing) {
      return new Text(
          400, "calls of this service must not be repeated", "send an Idempotency-Key header");
    }
    if (error instanceof IdempotencyKeyReused) {
      return new Text(422, "the key belongs to another request", "choose a new key");
    }
    if (error instanceof IdempotencyKeyExpired) {
      return new Text(
          410,
          "the record of the key has expired",
          "check whether the call ran, then use a new key");
    }
    if (error instanceof UnknownCall) {
      return new Text(
          404, "no record of the key exists", "send the call again with the same key and body");
    }
    if (error instanceof OutcomeUnknown) {
      return new Text(202, "the call may or may not have run", ASK_STATUS);
    }
    if (error instanceof CallNotRun) {
      return new Text(503, "the call was not run", RESEND + " with the same key");
    }
    return ofCapacity(error);
  }

  private static Text ofCapacity(RequestError error) {
    if (error instanceof NotInForce) {
      return new Text(503, "this VM has no confirmed configuration", ELSEWHERE);
    }
    if (error instanceof Draining) {
      return new Text(503, "this VM is about to stop", ELSEWHERE);
    }
    if (error instanceof Overloaded) {
      return new Text(429, "the share of the workspace is used up", RESEND + " after a pause");
    }
    if (error instanceof DeadlineTooShort e) {
      return new Text(
          503,
          "stage " + e.stage() + " and those after it cannot finish before the deadline",
          RESEND + " with a later deadline");
    }
    if (error instanceof DeadlineMissed e) {
      return new Text(
          504, "the deadline passed in stage " + e.stage(), RESEND + " with a later deadline");
    }
    if (error instanceof NoUpstream e) {
      return new Text(
          503,
          "no upstream of service " + e.service() + " can take stage " + e.stage(),
          RESEND + " after a pause");
    }
    if (error instanceof StageFailed e) {
      return new Text(502, "stage " + e.stage() + " failed: " + e.cause(), RESEND);
    }
    if (error instanceof StageRejected e) {
      return new Text(
          422,
          "stage " + e.stage() + " rejected the request with status " + e.status(),
          "correct the input");
    }
    if (error instanceof CallerGone) {
      return new Text(499, "the caller closed its connection", RESEND);
    }
    return new Text(500, "the request could not be completed", RESEND);
  }

  /**
   * Texts of one error.
   *
   * @param status HTTP status
   * @param message what is wrong
   * @param remedy what the receiver can do next
   */
  record Text(int status, String message, String remedy) {}
}
