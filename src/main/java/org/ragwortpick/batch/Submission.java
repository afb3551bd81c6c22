package org.ragwortpick.batch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import org.ragwortpick.policy.admission.RequestPath;
import org.ragwortpick.policy.admission.WorkOwner;

/**
 * State of the pieces of one stage of one request at the collector. Confined to the thread of the
 * collector.
 */
final class Submission {

  private final StageWork work;
  private final WorkOwner owner;
  private final long viewAgeMs;
  private final long arrivedAtMs;
  private final long deadlineAtMs;
  private long targetAtMs;
  private final String[] handles;
  private final Consumer<SubmissionEnd> whenEnded;
  private final boolean[] inputsFetched;
  private int missingCount;
  private boolean inputsReleased;
  private boolean started;
  private boolean ended;

  /**
   * Creates the submission.
   *
   * @param work the pieces
   * @param viewAgeMs age of the sender's view of the upstreams in milliseconds, as of their arrival
   * @param nowMs time of arrival on the monotonic clock in milliseconds
   * @param whenEnded receives the outcome exactly once, unless the submission is cancelled
   */
  Submission(StageWork work, long viewAgeMs, long nowMs, Consumer<SubmissionEnd> whenEnded) {
    this.work = work;
    this.owner = work.owner();
    this.viewAgeMs = viewAgeMs;
    this.arrivedAtMs = nowMs;
    this.deadlineAtMs = nowMs + work.remainingMs();
    this.targetAtMs = nowMs + work.targetRemainingMs();
    this.handles = new String[work.pieceCount()];
    this.missingCount = work.pieceCount();
    this.inputsFetched = new boolean[work.pieceCount()];
    this.whenEnded = whenEnded;
  }

  /**
   * Returns the submitted work.
   *
   * @return the work
   */
  StageWork work() {
    return work;
  }

  /**
   * Returns the owner of the work.
   *
   * @return priority and workspace
   */
  WorkOwner owner() {
    return owner;
  }

  /**
   * Returns the age of the sender's view when the pieces arrived.
   *
   * @return age in milliseconds
   */
  long viewAgeMs() {
    return viewAgeMs;
  }

  /**
   * Returns the time since the pieces arrived.
   *
   * @param nowMs monotonic time in milliseconds
   * @return time in milliseconds
   */
  long waitedMs(long nowMs) {
    return nowMs - arrivedAtMs;
  }

  /**
   * Returns the deadline of the pieces.
   *
   * @return monotonic time in milliseconds
   */
  long deadlineAtMs() {
    return deadlineAtMs;
  }

  /**
   * Returns the time at which the pieces are needed so that the response meets the target latency.
   *
   * @return monotonic time in milliseconds
   */
  long targetAtMs() {
    return targetAtMs;
  }

  /**
   * Returns the time until which a refusal is early enough for the caller.
   *
   * @return monotonic time in milliseconds; the time of arrival if it has passed or is not known
   */
  long refusableUntilMs() {
    return arrivedAtMs + work.path().map(RequestPath::decideWithinMs).orElse(0L);
  }

  /** Records that a piece was sent to an upstream. */
  void recordStart() {
    started = true;
  }

  /**
   * Returns whether a piece was sent to an upstream.
   *
   * @return whether work was spent on the submission
   */
  boolean isStarted() {
    return started;
  }

  /**
   * Replaces the time at which the pieces are needed.
   *
   * @param atMs monotonic time in milliseconds
   */
  void setTargetAtMs(long atMs) {
    targetAtMs = atMs;
  }

  /**
   * Creates the queue entries of all pieces.
   *
   * @return the entries in the order of the pieces
   */
  List<WaitingPiece> pieces() {
    List<WaitingPiece> pieces = new ArrayList<>();
    for (int piece = 0; piece < handles.length; piece++) {
      pieces.add(new WaitingPiece(this, piece, 0));
    }
    return pieces;
  }

  /**
   * Returns whether the outcome was reported or the submission was cancelled.
   *
   * @return whether the pieces are no longer needed
   */
  boolean isEnded() {
    return ended;
  }

  /**
   * Records the result of a piece and reports the outcome once all pieces have one.
   *
   * @param piece index of the piece
   * @param handle handle of the result
   */
  void onProduced(int piece, String handle) {
    if (ended || handles[piece] != null) {
      return;
    }
    handles[piece] = handle;
    missingCount--;
    if (missingCount == 0) {
      end(new SubmissionEnd.Produced(Arrays.asList(handles)));
    }
  }

  /**
   * Records that an upstream has fetched the inputs of a piece. The inputs of an ended submission
   * are left to the entry VM of the request, because the work may have moved to another collector
   * that needs them.
   *
   * @param piece index of the piece
   * @return exclusive inputs, the first time that all pieces have fetched them; empty otherwise
   */
  List<StageInput> onInputsFetched(int piece) {
    if (ended) {
      return List.of();
    }
    inputsFetched[piece] = true;
    for (boolean done : inputsFetched) {
      if (!done) {
        return List.of();
      }
    }
    if (inputsReleased) {
      return List.of();
    }
    inputsReleased = true;
    return work.inputs().stream().filter(StageInput::exclusive).toList();
  }

  /**
   * Lists the results received so far.
   *
   * @return handles of the pieces that were produced
   */
  List<String> producedHandles() {
    return Arrays.stream(handles).filter(handle -> handle != null).toList();
  }

  /**
   * Ends the submission and reports its outcome, unless it has ended.
   *
   * @param end the outcome
   */
  void end(SubmissionEnd end) {
    if (!ended) {
      ended = true;
      whenEnded.accept(end);
    }
  }

  /** Ends the submission without reporting an outcome, because its sender no longer waits. */
  void cancel() {
    ended = true;
  }
}
