package org.ragwortpick.batch;

import java.util.List;

/** Gives up results, wherever their collector is. */
public interface ResultReleaser {

  /**
   * Gives up results that are not needed any more.
   *
   * @param service service whose upstreams hold the results
   * @param handles handles of the results
   */
  void release(String service, List<String> handles);
}
