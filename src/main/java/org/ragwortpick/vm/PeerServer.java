package org.ragwortpick.vm;

import io.grpc.BindableService;
import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.common.HostPort;

/**
 * gRPC server for calls of the other VMs. Calls are handled on the threads of the connections, so
 * services must not block.
 */
final class PeerServer implements AutoCloseable {

  private static final int MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
  private static final long CLOSE_TIMEOUT_MS = 2_000;

  /** Peers send keep-alive pings every 10 s, which the default of gRPC would not permit. */
  private static final long MIN_KEEP_ALIVE_INTERVAL_MS = 5_000;

  private final Server server;

  /**
   * Creates a server that does not listen yet.
   *
   * @param address address to listen on
   * @param services services to offer
   */
  PeerServer(HostPort address, List<BindableService> services) {
    NettyServerBuilder builder =
        NettyServerBuilder.forAddress(new InetSocketAddress(address.host(), address.port()))
            .directExecutor()
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .permitKeepAliveTime(MIN_KEEP_ALIVE_INTERVAL_MS, TimeUnit.MILLISECONDS)
            .permitKeepAliveWithoutCalls(true);
    services.forEach(builder::addService);
    this.server = builder.build();
  }

  /**
   * Starts to listen.
   *
   * @throws IOException if the address cannot be bound
   */
  void start() throws IOException {
    server.start();
  }

  @Override
  public void close() {
    server.shutdown();
    try {
      if (!server.awaitTermination(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
        server.shutdownNow();
      }
    } catch (InterruptedException e) {
      server.shutdownNow();
      Thread.currentThread().interrupt();
    }
  }
}
