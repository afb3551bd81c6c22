package org.ragwortpick.entry.upstream;

/** Client of the upstream API. */
public interface UpstreamClient {

  /**
   * Starts a call.
   *
   * @param request the request
   * @param listener receiver of the response
   * @return handle of the call
   */
  UpstreamCall send(UpstreamRequest request, UpstreamListener listener);

  /** Handle of a call. */
  interface UpstreamCall {

    /** Aborts the call and closes its connection. A call that has not ended ends as aborted. */
    void abort();
  }
}
