package org.ragwortpick.vm;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;

/** Process with a graceful stop. */
public interface StoppableProcess extends AutoCloseable {

  /**
   * Starts the listeners and the polls of other VMs.
   *
   * @throws IOException if an address cannot be bound
   */
  void start() throws IOException;

  /** Begins a graceful stop. Has no effect after the stop has ended. */
  void requestStop();

  /**
   * Returns the end of a graceful stop.
   *
   * @return future that completes when all requests have ended or the stop timeout has expired
   */
  CompletableFuture<Void> stopped();

  @Override
  void close() throws IOException;
}
