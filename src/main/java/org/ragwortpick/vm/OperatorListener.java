package org.ragwortpick.vm;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.StallDetector;
import org.ragwortpick.common.SuspensionDetector;
import org.ragwortpick.entry.http.RecentRequests;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** HTTP listener for operators and announcements, which tells recent requests from old ones. */
final class OperatorListener implements AutoCloseable {

  private static final int BUFFER_SIZE_BYTES = 1024;
  private static final int BACKLOG = 1_000;
  private static final long LIMITED_BY_HANDLER = -1;

  private final HostPort address;
  private final HttpHandler handler;
  private final StallDetector stalls;
  private final RecentRequests recent;
  private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_SIZE_BYTES);
  private AcceptingChannel<StreamConnection> channel;

  /**
   * Creates the listener without listening yet.
   *
   * @param address address to listen on
   * @param handler handler of all requests
   * @param clock monotonic clock
   */
  OperatorListener(HostPort address, HttpHandler handler, Clock clock) {
    this.address = address;
    this.handler = handler;
    this.stalls = new StallDetector(clock, new SuspensionDetector(clock, Clock.systemUTC()));
    this.recent = new RecentRequests(clock, stalls);
  }

  /**
   * Returns the record of recent requests.
   *
   * @return the record
   */
  RecentRequests recentRequests() {
    return recent;
  }

  /**
   * Starts to listen.
   *
   * @param worker worker whose I/O threads serve the connections
   * @throws UncheckedIOException if the address cannot be bound
   */
  void start(XnioWorker worker) {
    OptionMap httpOptions =
        OptionMap.builder()
            .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
            .set(UndertowOptions.ALWAYS_SET_DATE, false)
            .set(UndertowOptions.MAX_ENTITY_SIZE, LIMITED_BY_HANDLER)
            .getMap();
    HttpOpenListener open = new HttpOpenListener(buffers, httpOptions);
    open.setRootHandler(handler);
    OptionMap socketOptions =
        OptionMap.builder()
            .set(Options.TCP_NODELAY, true)
            .set(Options.REUSE_ADDRESSES, true)
            .set(Options.BACKLOG, BACKLOG)
            .getMap();
    worker
        .getIoThread()
        .executeAtInterval(stalls::tick, StallDetector.TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    try {
      channel =
          worker.createStreamConnectionServer(
              new InetSocketAddress(address.host(), address.port()),
              ChannelListeners.openListenerAdapter(recent.recording(open)),
              socketOptions);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot listen on " + address, e);
    }
    channel.resumeAccepts();
  }

  @Override
  public void close() {
    IoUtils.safeClose(channel);
    buffers.close();
  }
}
