package org.ragwortpick.entry.upstream;

import org.ragwortpick.common.HostPort;

/** Receives what calls show about the network paths to upstreams, on the I/O thread. */
public interface PathObserver {

  /** Ignores all events. */
  PathObserver NONE = new PathObserver() {};

  /**
   * Called when a connection was established.
   *
   * @param address address of the upstream
   */
  default void onConnected(HostPort address) {}

  /**
   * Called when a connection was refused or not established within the connect timeout.
   *
   * @param address address of the upstream
   */
  default void onNotConnected(HostPort address) {}

  /**
   * Called before the first byte of a request is written.
   *
   * @param address address of the upstream
   */
  default void onRequestWritten(HostPort address) {}

  /**
   * Called when bytes of a response have arrived.
   *
   * @param address address of the upstream
   */
  default void onBytesReceived(HostPort address) {}
}
