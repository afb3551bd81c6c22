package org.ragwortpick.peer;

import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientCall;
import io.grpc.ClientInterceptor;
import io.grpc.ForwardingClientCall.SimpleForwardingClientCall;
import io.grpc.ForwardingClientCallListener.SimpleForwardingClientCallListener;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.common.HostPort;

/** Channel to one peer, which knows whether the peer has answered on it. */
final class PeerChannel implements ClientInterceptor {

  private static final long KEEP_ALIVE_INTERVAL_MS = 10_000;
  private static final long KEEP_ALIVE_TIMEOUT_MS = 2_000;
  private static final int MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

  private final Clock clock;
  private final long openedAtMs;
  private final ManagedChannel channel;
  private volatile boolean hasAnswered;

  private PeerChannel(HostPort address, Clock clock) {
    this.clock = clock;
    this.openedAtMs = clock.millis();
    this.channel =
        NettyChannelBuilder.forAddress(new InetSocketAddress(address.host(), address.port()))
            .usePlaintext()
            .directExecutor()
            .disableServiceConfigLookUp()
            .keepAliveTime(KEEP_ALIVE_INTERVAL_MS, TimeUnit.MILLISECONDS)
            .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .intercept(this)
            .build();
  }

  /**
   * Opens a channel.
   *
   * @param address peer address
   * @param clock monotonic clock
   * @return the channel, which connects with its first call
   */
  static PeerChannel open(HostPort address, Clock clock) {
    return new PeerChannel(address, clock);
  }

  /**
   * Returns the channel for calls.
   *
   * @return the channel
   */
  ManagedChannel channel() {
    return channel;
  }

  /**
   * Returns whether a message of the peer has arrived.
   *
   * @return false if no call has ever been answered on this channel
   */
  boolean hasAnswered() {
    return hasAnswered;
  }

  /**
   * Returns the time since the channel was opened.
   *
   * @return time in milliseconds
   */
  long ageMs() {
    return clock.millis() - openedAtMs;
  }

  @Override
  public <Q, R> ClientCall<Q, R> interceptCall(
      MethodDescriptor<Q, R> method, CallOptions options, Channel next) {
    return new SimpleForwardingClientCall<>(next.newCall(method, options)) {
      @Override
      public void start(Listener<R> listener, Metadata headers) {
        super.start(
            new SimpleForwardingClientCallListener<>(listener) {
              @Override
              public void onMessage(R message) {
                hasAnswered = true;
                super.onMessage(message);
              }
            },
            headers);
      }
    };
  }
}
