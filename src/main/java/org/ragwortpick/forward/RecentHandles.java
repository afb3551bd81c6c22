package org.ragwortpick.forward;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpick.batch.PieceResult;

/**
 * Handles of the results that upstreams returned recently. A response with one of them is a second
 * copy of an earlier response. Confined to the I/O thread.
 */
final class RecentHandles {

  /** Number of handles kept; a second copy follows the first within the life of a connection. */
  private static final int MAX_HANDLES = 8_192;

  private final Map<String, Boolean> handles = new BoundedMap();

  /** Creates an empty instance. */
  RecentHandles() {}

  /**
   * Adds the handles of a response.
   *
   * @param results results of the response
   * @return whether none of the handles was added before
   */
  boolean addNew(List<PieceResult> results) {
    boolean isNew = true;
    for (PieceResult result : results) {
      if (result instanceof PieceResult.Produced produced) {
        isNew &= handles.put(produced.handle(), true) == null;
      }
    }
    return isNew;
  }

  /** Map that drops its oldest entries. */
  private static final class BoundedMap extends LinkedHashMap<String, Boolean> {

    private static final long serialVersionUID = 1L;

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
      return size() > MAX_HANDLES;
    }
  }
}
