package org.ragwortpick.entry.upstream;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.URI;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.common.HostPort;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Opens connections to upstreams. The HTTP client reads the head of a response in one go as long as
 * bytes arrive, so the limit of received bytes has to be below it, at the socket.
 */
final class UpstreamConnector {

  private static final OptionMap CONNECTION_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

  private final ByteBufferPool buffers;

  /**
   * Creates a connector.
   *
   * @param buffers pool of read buffers
   */
  UpstreamConnector(ByteBufferPool buffers) {
    this.buffers = buffers;
  }

  /**
   * Opens a connection.
   *
   * @param address address of the upstream
   * @param ioThread I/O thread of the connection
   * @param callback receives the connection or the failure, on the I/O thread
   */
  void connect(
      HostPort address, XnioIoThread ioThread, ClientCallback<UpstreamConnection> callback) {
    ReceiveLimit limit = new ReceiveLimit();
    LimitingIoThread limiting = new LimitingIoThread(ioThread, limit);
    UndertowClient.getInstance()
        .connect(
            new ClientCallback<>() {
              @Override
              public void completed(ClientConnection opened) {
                callback.completed(new UpstreamConnection(opened, limiting.socket, limit));
              }

              @Override
              public void failed(IOException e) {
                callback.failed(e);
              }
            },
            URI.create("http://" + address),
            limiting,
            buffers,
            CONNECTION_OPTIONS);
  }

  /**
   * Stand-in for an I/O thread that installs the limit on the connection it opens. It is never
   * started as a thread; all tasks run on the real I/O thread.
   */
  private static final class LimitingIoThread extends XnioIoThread {

    private final XnioIoThread ioThread;
    private final ReceiveLimit limit;
    private StreamConnection socket;

    private LimitingIoThread(XnioIoThread ioThread, ReceiveLimit limit) {
      super(ioThread.getWorker(), ioThread.getNumber());
      this.ioThread = ioThread;
      this.limit = limit;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
        SocketAddress destination,
        ChannelListener<? super StreamConnection> openListener,
        OptionMap options) {
      return ioThread.openStreamConnection(
          destination,
          connection -> {
            socket = connection;
            var source = connection.getSourceChannel();
            source.setConduit(new LimitedSourceConduit(source.getConduit(), limit));
            ChannelListeners.invokeChannelListener(connection, openListener);
          },
          options);
    }

    @Override
    public void execute(Runnable command) {
      ioThread.execute(command);
    }

    @Override
    public Key executeAfter(Runnable command, long time, TimeUnit unit) {
      return ioThread.executeAfter(command, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
      return ioThread.executeAtInterval(command, time, unit);
    }
  }
}
