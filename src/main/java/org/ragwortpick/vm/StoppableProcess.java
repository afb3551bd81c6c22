package org.ragwortpick.vm;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;

/** Process of the system with a graceful stop. */
public interface StoppableProcess extends AutoCloseable {

  /**
   * Starts to listen and to poll.
   *
   * @throws IOException if an address cannot be bound
   */
  void start() throws IOException;

  /** Begins a graceful stop. Later requests change nothing. */
  void requestStop();

  /**
   * Completes when a graceful stop has finished all requests.
   *
   * @return the end of the stop
   */
  CompletableFuture<Void> stopped();

  @Override
  void close() throws IOException;
}
