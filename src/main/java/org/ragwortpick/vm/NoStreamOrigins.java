package org.ragwortpick.vm;

import java.util.Optional;
import java.util.function.Consumer;
import org.ragwortpick.origin.StreamOrigins;

/** Knows the origin of no stream, for deployments without a store. */
final class NoStreamOrigins implements StreamOrigins {

  @Override
  public void record(String requestId, String version, long lifetimeMs) {
    // Nothing is kept, so that streams go on only where a service has a single version.
  }

  @Override
  public void find(String requestId, Consumer<Optional<String>> found) {
    found.accept(Optional.empty());
  }
}
