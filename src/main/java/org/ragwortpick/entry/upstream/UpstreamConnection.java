package org.ragwortpick.entry.upstream;

import io.undertow.client.ClientConnection;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Connection to an upstream.
 *
 * @param client the connection
 * @param socket its socket
 * @param receiveLimit limit of the bytes that may be received on it
 */
record UpstreamConnection(
    ClientConnection client, StreamConnection socket, ReceiveLimit receiveLimit) {

  /**
   * Returns whether the connection is open.
   *
   * @return whether neither side is known to have closed it
   */
  boolean isOpen() {
    return client.isOpen();
  }

  /**
   * Returns the I/O thread of the connection.
   *
   * @return the thread
   */
  XnioIoThread ioThread() {
    return client.getIoThread();
  }

  /**
   * Closes the connection; errors are ignored. The client alone would leave the socket open until
   * the response to a request in progress arrives.
   */
  void close() {
    IoUtils.safeClose(client, socket);
  }
}
