package org.ragwortpick.origin;

import java.util.Optional;
import java.util.function.Consumer;

/** Version of the upstreams that may take up a stream. */
public interface StreamOrigins {

  /**
   * Records the version at which a request runs. Never blocks.
   *
   * @param requestId id of the request
   * @param version version of the upstream that the request is sent to
   * @param lifetimeMs time after which the record is no longer needed in milliseconds
   */
  void record(String requestId, String version, long lifetimeMs);

  /**
   * Looks up the version at which a request ran. Calls back once, on any thread, within 300 ms.
   *
   * @param requestId id of the request
   * @param found receives the version; empty if it is not known
   */
  void find(String requestId, Consumer<Optional<String>> found);
}
