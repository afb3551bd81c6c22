package org.ragwortpick.entry.upstream;

import io.undertow.client.ClientCallback;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.common.HostPort;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Opens one connection to learn whether an upstream can be reached. The connection goes to the
 * pool, so that a request can use it. Confined to the I/O thread.
 */
final class ConnectionProbe implements ClientCallback<UpstreamConnection> {

  private final HostPort address;
  private final XnioIoThread ioThread;
  private final HttpCall.Dependencies dependencies;
  private long startedAtMs;
  private XnioExecutor.Key timeout;
  private boolean ended;

  /**
   * Creates a probe that is not started.
   *
   * @param address address of the upstream
   * @param ioThread I/O thread of the connection
   * @param dependencies components that all calls share
   */
  ConnectionProbe(HostPort address, XnioIoThread ioThread, HttpCall.Dependencies dependencies) {
    this.address = address;
    this.ioThread = ioThread;
    this.dependencies = dependencies;
  }

  /** Starts to connect. Must be called on the I/O thread. */
  void start() {
    startedAtMs = dependencies.clock().millis();
    timeout =
        ioThread.executeAfter(this::fail, dependencies.connectTimeoutMs(), TimeUnit.MILLISECONDS);
    dependencies.connector().connect(address, ioThread, this);
  }

  @Override
  public void completed(UpstreamConnection opened) {
    if (ended) {
      opened.close();
      return;
    }
    end();
    dependencies.observer().onConnected(address);
    dependencies.pool().put(address, opened, Long.MAX_VALUE);
  }

  @Override
  public void failed(IOException e) {
    fail();
  }

  /** Idle connections over the same path are then likely to be broken too. */
  private void fail() {
    if (ended) {
      return;
    }
    end();
    dependencies.observer().onNotConnected(address);
    dependencies.pool().closeWithoutProgressSince(address, startedAtMs);
  }

  private void end() {
    ended = true;
    timeout.remove();
  }
}
