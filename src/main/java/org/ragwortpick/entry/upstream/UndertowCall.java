package org.ragwortpick.entry.upstream;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Clock;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.ragwortpick.entry.EntrySettings;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSourceChannel;

/** One call to an upstream. All methods but {@link #start} and {@link #abort} run on one thread. */
final class UndertowCall implements UpstreamClient.UpstreamCall {

  private static final Logger LOG = Logger.getLogger(UndertowCall.class);

  /** Headers and body are written apart; without this option the body may wait for an ACK. */
  private static final OptionMap CONNECTION_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

  private final UpstreamRequest request;
  private final UpstreamListener listener;
  private final XnioIoThread thread;
  private final Dependencies dependencies;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final ServerSentEventParser events;
  private ClientConnection connection;
  private UpstreamHead head;
  private long receivedBytes;
  private boolean streaming;
  private boolean closeAfterwards;
  private boolean ended;
  private long startedAtMs;
  private long progressAtMs;
  private XnioExecutor.Key timer;

  /**
   * Creates a call.
   *
   * @param request the request
   * @param listener receiver of the progress
   * @param thread I/O thread of the call
   * @param dependencies what all calls share
   */
  UndertowCall(
      UpstreamRequest request,
      UpstreamListener listener,
      XnioIoThread thread,
      Dependencies dependencies) {
    this.request = request;
    this.listener = listener;
    this.thread = thread;
    this.dependencies = dependencies;
    this.events = new ServerSentEventParser(listener::onEvent);
  }

  /**
   * Uses a pooled connection.
   *
   * @param pooled connection on the thread of this call
   * @return this call
   */
  UndertowCall reuse(ClientConnection pooled) {
    this.connection = pooled;
    return this;
  }

  /** Starts the call. */
  void start() {
    // Queued even on its own thread, so that the sender has the handle before the first callback.
    thread.execute(this::open);
  }

  @Override
  public void abort() {
    thread.execute(() -> end(new UpstreamEnd.Aborted(), true));
  }

  private void open() {
    if (ended) {
      return;
    }
    startedAtMs = dependencies.clock().millis();
    progressAtMs = startedAtMs;
    if (connection != null && connection.isOpen()) {
      write();
      return;
    }
    connection = null;
    armTimer(dependencies.settings().connectTimeoutMs(), this::onConnectTimeout);
    UndertowClient.getInstance()
        .connect(
            callback(
                this::onConnected,
                e -> end(new UpstreamEnd.NotConnected(String.valueOf(e.getMessage())), true)),
            URI.create("http://" + request.address()),
            thread,
            dependencies.buffers(),
            CONNECTION_OPTIONS);
  }

  private void onConnectTimeout() {
    end(new UpstreamEnd.NotConnected("no connection within the connect timeout"), true);
  }

  private void onConnected(ClientConnection opened) {
    if (ended) {
      IoUtils.safeClose(opened);
      return;
    }
    connection = opened;
    write();
  }

  private void write() {
    if (!isPermitted()) {
      // Nothing was written, so the connection stays usable.
      end(new UpstreamEnd.NotPermitted(), false);
      return;
    }
    progressAtMs = dependencies.clock().millis();
    armTimer(request.progressTimeoutMs(), this::checkProgress);
    connection.sendRequest(httpRequest(), callback(this::onExchange, this::broken));
  }

  private boolean isPermitted() {
    try {
      return request.permit().getAsBoolean();
    } catch (IllegalStateException e) {
      LOG.error("permit of a call failed", e);
      return false;
    }
  }

  private ClientRequest httpRequest() {
    ClientRequest http = new ClientRequest().setMethod(Methods.POST).setPath(request.path());
    HeaderMap headers = http.getRequestHeaders();
    headers.put(Headers.HOST, request.address().toString());
    headers.put(Headers.CONTENT_TYPE, "application/json");
    headers.put(Headers.CONTENT_LENGTH, request.body().length);
    headers.put(UpstreamHeaders.REQUEST_ID, request.id().requestId());
    headers.put(UpstreamHeaders.STAGE, request.id().stage());
    headers.put(UpstreamHeaders.ATTEMPT, request.id().attempt());
    headers.put(UpstreamHeaders.DEADLINE_MS, request.deadlineMs());
    if (!request.traceparent().isEmpty()) {
      headers.put(UpstreamHeaders.TRACEPARENT, request.traceparent());
    }
    if (request.stream()) {
      headers.put(Headers.ACCEPT, "text/event-stream");
    }
    return http;
  }

  private void onExchange(ClientExchange exchange) {
    exchange.setResponseListener(callback(this::onResponse, this::broken));
    new RequestBodyWriter(ByteBuffer.wrap(request.body()), this::broken)
        .start(exchange.getRequestChannel());
  }

  private void onResponse(ClientExchange exchange) {
    if (ended) {
      return;
    }
    progressAtMs = dependencies.clock().millis();
    HeaderMap headers = exchange.getResponse().getResponseHeaders();
    head = UpstreamHeaders.read(exchange.getResponse());
    streaming = request.stream() && head.status() == 200;
    closeAfterwards = "close".equalsIgnoreCase(headers.getFirst(Headers.CONNECTION));
    listener.onHead(head);
    StreamSourceChannel channel = exchange.getResponseChannel();
    channel.getReadSetter().set(this::read);
    read(channel);
  }

  private void read(StreamSourceChannel channel) {
    try (PooledByteBuffer pooled = dependencies.buffers().allocate()) {
      ByteBuffer buffer = pooled.getBuffer();
      while (!ended) {
        buffer.clear();
        int count = channel.read(buffer);
        if (count < 0) {
          onBodyEnd();
          return;
        }
        if (count == 0) {
          channel.resumeReads();
          return;
        }
        buffer.flip();
        onBytes(buffer);
      }
    } catch (IOException e) {
      broken(e);
    }
  }

  private void onBytes(ByteBuffer buffer) {
    progressAtMs = dependencies.clock().millis();
    receivedBytes += buffer.remaining();
    if (receivedBytes > dependencies.settings().maxAnswerBytes()) {
      end(new UpstreamEnd.Broken("the answer is larger than the limit"), true);
    } else if (streaming) {
      if (!events.feed(buffer)) {
        end(new UpstreamEnd.Broken("a line of the stream is too long"), true);
      }
    } else {
      byte[] bytes = new byte[buffer.remaining()];
      buffer.get(bytes);
      body.writeBytes(bytes);
    }
  }

  private void onBodyEnd() {
    // Undertow reports a body that is shorter than its stated length as an exception.
    end(new UpstreamEnd.Answered(head, body.toByteArray()), closeAfterwards);
  }

  private void checkProgress() {
    long silentMs = dependencies.clock().millis() - progressAtMs;
    if (silentMs < request.progressTimeoutMs()) {
      armTimer(request.progressTimeoutMs() - silentMs, this::checkProgress);
      return;
    }
    dependencies.pool().closeWithoutProgressSince(request.address(), startedAtMs);
    end(new UpstreamEnd.TimedOut(), true);
  }

  private void broken(IOException cause) {
    LOG.debugf(cause, "call to %s broke", request.address());
    end(new UpstreamEnd.Broken(String.valueOf(cause.getMessage())), true);
  }

  private void armTimer(long delayMs, Runnable task) {
    cancelTimer();
    timer = thread.executeAfter(task, delayMs, TimeUnit.MILLISECONDS);
  }

  private void cancelTimer() {
    if (timer != null) {
      timer.remove();
      timer = null;
    }
  }

  private void end(UpstreamEnd end, boolean closeConnection) {
    if (ended) {
      return;
    }
    ended = true;
    cancelTimer();
    if (connection != null) {
      if (closeConnection || request.freshConnection() || !connection.isOpen()) {
        IoUtils.safeClose(connection);
      } else {
        dependencies.pool().put(request.address(), connection);
      }
    }
    listener.onEnd(end);
  }

  private static <T> ClientCallback<T> callback(Consumer<T> done, Consumer<IOException> failed) {
    return new ClientCallback<>() {
      @Override
      public void completed(T result) {
        done.accept(result);
      }

      @Override
      public void failed(IOException e) {
        failed.accept(e);
      }
    };
  }

  /**
   * What all calls of a client share.
   *
   * @param buffers buffers for reading
   * @param clock monotonic clock
   * @param settings limits and timeouts
   * @param pool idle connections
   */
  record Dependencies(
      ByteBufferPool buffers, Clock clock, EntrySettings settings, ConnectionPool pool) {}
}
