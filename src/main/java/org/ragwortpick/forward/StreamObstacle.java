package org.ragwortpick.forward;

/** Reason why a stream cannot be taken up here, now or at all. */
enum StreamObstacle {
  /** Nothing shows at which version the stream began. */
  VERSION_UNKNOWN("stream_version_unknown", Refusal.STREAM_VERSION_UNKNOWN),

  /** No upstream of the version that began the stream may take work. */
  VERSION_GONE("stream_version_gone", Refusal.STREAM_VERSION_GONE),

  /** The local view may not show the present versions of the upstreams. */
  VIEW_OUTDATED("stream_view_outdated", Refusal.STREAM_VIEW_OUTDATED);

  private final String label;
  private final Refusal refusal;

  StreamObstacle(String label, Refusal refusal) {
    this.label = label;
    this.refusal = refusal;
  }

  /**
   * Returns the label of the end of the request.
   *
   * @return the label
   */
  String label() {
    return label;
  }

  /**
   * Returns the response to the caller.
   *
   * @return the refusal
   */
  Refusal refusal() {
    return refusal;
  }
}
