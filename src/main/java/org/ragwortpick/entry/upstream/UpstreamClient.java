package org.ragwortpick.entry.upstream;

/** Sends requests to upstreams. */
public interface UpstreamClient {

  /**
   * Starts a call.
   *
   * @param request the request
   * @param listener receiver of the progress
   * @return handle of the call
   */
  UpstreamCall send(UpstreamRequest request, UpstreamListener listener);

  /** Handle of a call. */
  interface UpstreamCall {

    /** Closes the connection of the call. The listener gets its end if it has none yet. */
    void abort();
  }
}
