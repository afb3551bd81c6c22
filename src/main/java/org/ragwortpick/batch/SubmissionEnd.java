package org.ragwortpick.batch;

import java.util.List;

/** Outcome of the pieces of one stage of one request. */
public sealed interface SubmissionEnd {

  /**
   * All pieces were produced.
   *
   * @param handles handles in the order of the pieces
   */
  record Produced(List<String> handles) implements SubmissionEnd {

    /**
     * Copies the handles.
     *
     * @param handles handles in the order of the pieces
     */
    public Produced {
      handles = List.copyOf(handles);
    }
  }

  /**
   * A piece cannot be produced.
   *
   * @param cause reason
   * @param waitMs expected wait in the queue in milliseconds
   */
  record Failed(Cause cause, long waitMs) implements SubmissionEnd {}

  /** Reason for which a piece cannot be produced. */
  enum Cause {
    /** The deadline has passed, or will pass before the work can be done. */
    LATE,
    /** An input was released or has expired. */
    INPUT_GONE,
    /** The service has no available upstream, or no collector can be reached. */
    UNAVAILABLE,
    /**
     * The queue is so long that the target latency is missed. New work is refused before any of its
     * pieces starts.
     */
    OVERLOADED,
    /** The upstreams failed to produce the piece. */
    FAILED
  }
}
