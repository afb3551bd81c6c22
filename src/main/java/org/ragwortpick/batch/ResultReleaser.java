package org.ragwortpick.batch;

import java.util.List;

/** Releases results through the collector of their service, local or remote. */
public interface ResultReleaser {

  /**
   * Releases results that are no longer needed.
   *
   * @param service service whose upstreams hold the results
   * @param handles handles of the results
   */
  void release(String service, List<String> handles);
}
