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
import org.ragwortpick.error.RequestError.IncompleteBody;
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

/** Defines the HTTP status, message and remedy of each request error. */
final class RequestErrorMessages {

  private static final String RESEND_REMEDY = "send the request again";
  private static final String OTHER_ADDRESS_REMEDY = "send the request to one of the addresses";
  private static final String CALL_STATUS_REMEDY = "ask for the status with GET /v1/calls/{key}";

  private RequestErrorMessages() {}

  /**
   * Returns the status, message and remedy of an error.
   *
   * @param error the error
   * @return the description
   */
  static Description describe(RequestError error) {
    if (error instanceof Malformed e) {
      return new Description(400, "the request is malformed: " + e.detail(), "correct the request");
    }
    if (error instanceof IncompleteBody) {
      return new Description(408, "the body ended before its stated length", RESEND_REMEDY);
    }
    if (error instanceof BodyTooLarge e) {
      return new Description(
          413, "the body is too large", "send at most " + e.limitBytes() + " bytes");
    }
    if (error instanceof BadHeader e) {
      return new Description(
          400,
          "header " + e.header() + " is absent or not valid",
          "send one value of 1 to " + e.maxLength() + " printable ASCII characters");
    }
    if (error instanceof BadDeadline e) {
      return new Description(
          400, "the deadline is not valid", "send Deadline-Ms between 1 and " + e.maxMs());
    }
    if (error instanceof UnknownName e) {
      return new Description(
          404,
          "the inventory lists no " + e.type() + " " + e.name(),
          "correct the name or ask the operators to add the " + e.type());
    }
    if (error instanceof NoSuchResource e) {
      return new Description(
          404, "there is no " + e.method() + " " + e.path(), "use a path of the caller API");
    }
    return describeCallError(error);
  }

  private static Description describeCallError(RequestError error) {
    if (error instanceof IdempotencyKeyMissing) {
      return new Description(
          400, "calls of this service must not be repeated", "send an Idempotency-Key header");
    }
    if (error instanceof IdempotencyKeyReused) {
      return new Description(422, "the key belongs to another request", "choose a new key");
    }
    if (error instanceof IdempotencyKeyExpired) {
      return new Description(
          410,
          "the record of the key has expired",
          "check whether the call ran, then use a new key");
    }
    if (error instanceof UnknownCall) {
      return new Description(
          404, "no record of the key exists", "send the call again with the same key and body");
    }
    if (error instanceof OutcomeUnknown) {
      return new Description(202, "the call may or may not have run", CALL_STATUS_REMEDY);
    }
    if (error instanceof CallNotRun) {
      return new Description(503, "the call was not run", RESEND_REMEDY + " with the same key");
    }
    return describeExecutionError(error);
  }

  private static Description describeExecutionError(RequestError error) {
    if (error instanceof NotInForce) {
      return new Description(503, "this VM has no confirmed configuration", OTHER_ADDRESS_REMEDY);
    }
    if (error instanceof Draining) {
      return new Description(503, "this VM is about to stop", OTHER_ADDRESS_REMEDY);
    }
    if (error instanceof Overloaded) {
      return new Description(
          429, "the share of the workspace is used up", RESEND_REMEDY + " after a pause");
    }
    if (error instanceof DeadlineTooShort e) {
      return new Description(
          503,
          "stage " + e.stage() + " and those after it cannot finish before the deadline",
          RESEND_REMEDY + " with a later deadline");
    }
    if (error instanceof DeadlineMissed e) {
      return new Description(
          504,
          "the deadline passed in stage " + e.stage(),
          RESEND_REMEDY + " with a later deadline");
    }
    if (error instanceof NoUpstream e) {
      return new Description(
          503,
          "no upstream of service " + e.service() + " can take stage " + e.stage(),
          RESEND_REMEDY + " after a pause");
    }
    if (error instanceof StageFailed e) {
      return new Description(502, "stage " + e.stage() + " failed: " + e.cause(), RESEND_REMEDY);
    }
    if (error instanceof StageRejected e) {
      return new Description(
          422,
          "stage " + e.stage() + " rejected the request with status " + e.status(),
          "correct the input");
    }
    if (error instanceof CallerGone) {
      return new Description(499, "the caller closed its connection", RESEND_REMEDY);
    }
    return new Description(500, "the request could not be completed", RESEND_REMEDY);
  }

  /**
   * Description of an error.
   *
   * @param status HTTP status
   * @param message description of the error
   * @param remedy suggested action for the receiver
   */
  record Description(int status, String message, String remedy) {}
}
