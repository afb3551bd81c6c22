package org.ragwortpick.origin;

import java.util.Optional;
import java.util.function.Consumer;

/** Version of the upstreams that may take up a stream. */
public interface StreamOrigins {

  /** Time in milliseconds within which a look-up ends. */
  long LOOKUP_TIMEOUT_MS = 300;

  /**
   * Records the version at which a request runs. Never blocks.
   *
   * @param requestId id of the request
   * @param version version of its upstream
   * @param lifetimeMs time in milliseconds for which the record is kept
   */
  void record(String requestId, String version, long lifetimeMs);

  /**
   * Looks a version up. Calls back before it returns if the local VM has the record in memory.
   *
   * @param requestId id of the request that began a stream
   * @param found called once, on any thread, within {@link #LOOKUP_TIMEOUT_MS}; empty if unknown
   */
  void find(String requestId, Consumer<Optional<String>> found);
}
