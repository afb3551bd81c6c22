package org.ragwortpick.forward;

import io.undertow.util.HeaderMap;
import java.util.Optional;

/**
 * What a request states of the broken stream that it takes up.
 *
 * @param present whether the request takes a stream up
 * @param resumedId id of the request that brought the first event of the stream; empty if not
 *     stated
 */
record TakeUp(boolean present, Optional<String> resumedId) {

  /**
   * Reads the headers of a request.
   *
   * @param headers headers of the caller
   * @param names names of the headers
   * @return what the request takes up
   */
  static TakeUp of(HeaderMap headers, RoutingHeaders names) {
    Optional<String> resumedId =
        Optional.ofNullable(headers.getFirst(names.resumes()))
            .map(String::trim)
            .filter(id -> !id.isEmpty());
    boolean present = headers.contains(names.resumes()) || headers.contains(names.lastEventId());
    return new TakeUp(present, resumedId);
  }
}
