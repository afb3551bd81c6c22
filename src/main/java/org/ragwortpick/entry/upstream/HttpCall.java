package org.ragwortpick.entry.upstream;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Protocols;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Clock;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSourceChannel;

/**
 * One HTTP call to an upstream. All state is confined to the I/O thread of the connection. A
 * connection returns to the pool only after a complete response, or if nothing was written to it.
 */
public final class HttpCall {

  private static final Logger LOG = Logger.getLogger(HttpCall.class);

  private static final long MAX_HEAD_BYTES = 64 * 1024;
  private static final int MIN_STATUS = 100;
  private static final int MAX_STATUS = 599;

  private final HttpRequest request;
  private final HttpListener listener;
  private final XnioIoThread ioThread;
  private final Dependencies dependencies;
  private UpstreamConnection connection;
  private HeaderMap responseHeaders;
  private BodyTracker body;
  private StreamSourceChannel responseChannel;
  private boolean paused;
  private boolean ended;
  private boolean bodyWriteStarted;
  private boolean mayReuseConnection;
  private long startedAtMs;
  private long sentAtMs;
  private long progressAtMs;
  private XnioExecutor.Key timer;

  /**
   * Creates a call that is not started.
   *
   * @param request the request
   * @param listener receives the response
   * @param ioThread I/O thread of the connection
   * @param dependencies components that all calls share
   */
  HttpCall(
      HttpRequest request,
      HttpListener listener,
      XnioIoThread ioThread,
      Dependencies dependencies) {
    this.request = request;
    this.listener = listener;
    this.ioThread = ioThread;
    this.dependencies = dependencies;
  }

  /**
   * Lets the call use a pooled connection.
   *
   * @param pooled connection of the same I/O thread
   * @return this call
   */
  HttpCall useConnection(UpstreamConnection pooled) {
    this.connection = pooled;
    return this;
  }

  /** Starts the call on its I/O thread. */
  void start() {
    // Queued even on the I/O thread, so that send returns the call before the first callback.
    ioThread.execute(this::open);
  }

  /** Aborts the call and closes its connection, on which most upstreams stop their work. */
  public void abort() {
    ioThread.execute(() -> end(new CallFailure.Aborted(), true));
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
    armTimer(dependencies.connectTimeoutMs(), this::onConnectTimeout);
    dependencies
        .connector()
        .connect(
            request.address(),
            ioThread,
            callback(this::onConnected, e -> failToConnect(String.valueOf(e.getMessage()))));
  }

  private void onConnectTimeout() {
    failToConnect("no connection was established within the connect timeout");
  }

  private void failToConnect(String cause) {
    if (!ended) {
      dependencies.observer().onNotConnected(request.address());
    }
    end(new CallFailure.NotConnected(cause), true);
  }

  private void onConnected(UpstreamConnection opened) {
    dependencies.observer().onConnected(request.address());
    if (ended) {
      opened.close();
      return;
    }
    connection = opened;
    write();
  }

  private void write() {
    if (!isPermitted()) {
      // Nothing was written, so the connection can be reused.
      end(new CallFailure.NotPermitted(), false);
      return;
    }
    progressAtMs = dependencies.clock().millis();
    sentAtMs = progressAtMs;
    checkTimeouts();
    dependencies.observer().onRequestWritten(request.address());
    connection.receiveLimit().startHead(MAX_HEAD_BYTES);
    connection
        .client()
        .sendRequest(clientRequest(), callback(this::onExchange, this::failAsBroken));
  }

  private boolean isPermitted() {
    try {
      return request.permit().getAsBoolean();
    } catch (IllegalStateException e) {
      LOG.error("permit of a call threw an exception; the call is not sent", e);
      return false;
    }
  }

  private ClientRequest clientRequest() {
    ClientRequest http = new ClientRequest().setMethod(request.method()).setPath(request.path());
    HeaderMap headers = http.getRequestHeaders();
    HeaderMap requested = request.headers().get();
    requested.forEach(header -> headers.putAll(header.getHeaderName(), header));
    if (request.body().length > 0 || requested.contains(Headers.CONTENT_LENGTH)) {
      headers.put(Headers.CONTENT_LENGTH, request.body().length);
    }
    return http;
  }

  private void onExchange(ClientExchange exchange) {
    exchange.setResponseListener(callback(this::onResponse, this::failAsBroken));
    new RequestBodyWriter(ByteBuffer.wrap(request.body()), this::failAsBroken)
        .start(exchange.getRequestChannel());
    bodyWriteStarted = true;
  }

  private void onResponse(ClientExchange exchange) {
    if (ended) {
      return;
    }
    progressAtMs = dependencies.clock().millis();
    dependencies.observer().onBytesReceived(request.address());
    connection.receiveLimit().permitBody(request.limits().maxBodyBytes());
    responseHeaders = exchange.getResponse().getResponseHeaders();
    if (BodyFraming.isUnsupported(responseHeaders)) {
      fail(CallFailure.Broken.Sign.UNUSABLE, "the response has an unknown transfer coding");
      return;
    }
    int status = exchange.getResponse().getResponseCode();
    if (status < MIN_STATUS || status > MAX_STATUS) {
      fail(CallFailure.Broken.Sign.UNUSABLE, "the response has the invalid status " + status);
      return;
    }
    BodyFraming framing = BodyFraming.of(request.method(), status, responseHeaders);
    HttpHead head = new HttpHead(status, responseHeaders, framing);
    body = new BodyTracker(head);
    mayReuseConnection = mayReuseAfter(exchange.getResponse(), framing);
    if (!listener.onHead(head)) {
      fail(CallFailure.Broken.Sign.UNUSABLE, "the response belongs to another request");
      return;
    }
    responseChannel = exchange.getResponseChannel();
    responseChannel.getReadSetter().set(this::read);
    read(responseChannel);
  }

  /**
   * Stops to read the response body because its receiver cannot take more. The timeouts go on. Must
   * be called on the I/O thread.
   */
  public void pauseBody() {
    paused = true;
  }

  /** Goes on to read the response body. Must be called on the I/O thread. */
  public void resumeBody() {
    if (paused) {
      paused = false;
      ioThread.execute(() -> read(responseChannel));
    }
  }

  private void read(StreamSourceChannel channel) {
    try (PooledByteBuffer pooled = dependencies.buffers().allocate()) {
      ByteBuffer buffer = pooled.getBuffer();
      while (!ended && !paused) {
        buffer.clear().limit(Math.min(buffer.capacity(), listener.maxReadBytes()));
        int count = channel.read(buffer);
        if (count < 0) {
          // Undertow throws an exception if the body is shorter than its stated length.
          HttpEnd end = body.end();
          boolean complete = end instanceof HttpEnd.Completed;
          boolean reusable = complete && bodyWriteStarted && mayReuseConnection;
          end(end, !(reusable && listener.isIdentified()));
          return;
        }
        if (count == 0) {
          channel.resumeReads();
          return;
        }
        buffer.flip();
        progressAtMs = dependencies.clock().millis();
        dependencies.observer().onBytesReceived(request.address());
        body.record(buffer);
        if (!listener.onBytes(buffer)) {
          fail(CallFailure.Broken.Sign.UNUSABLE, "the listener rejected the response body");
        }
      }
      if (paused) {
        channel.suspendReads();
      }
    } catch (IOException e) {
      failAsBroken(e);
    }
  }

  private static boolean mayReuseAfter(ClientResponse response, BodyFraming framing) {
    return framing != BodyFraming.CONNECTION_CLOSE
        && Protocols.HTTP_1_1.equals(response.getProtocol())
        && !"close".equalsIgnoreCase(response.getResponseHeaders().getFirst(Headers.CONNECTION));
  }

  private void checkTimeouts() {
    ResponseLimits limits = request.limits();
    long endAtMs =
        Math.min(progressAtMs + limits.progressTimeoutMs(), sentAtMs + limits.totalTimeoutMs());
    long remainingMs = endAtMs - dependencies.clock().millis();
    if (remainingMs > 0) {
      armTimer(remainingMs, this::checkTimeouts);
      return;
    }
    dependencies.pool().closeWithoutProgressSince(request.address(), startedAtMs);
    end(new CallFailure.TimedOut(), true);
  }

  private void failAsBroken(IOException cause) {
    LOG.debugf(cause, "call to %s failed", request.address());
    fail(CallFailure.Broken.Sign.CONNECTION, String.valueOf(cause.getMessage()));
  }

  private void fail(CallFailure.Broken.Sign sign, String cause) {
    end(new CallFailure.Broken(sign, cause), true);
  }

  private void armTimer(long delayMs, Runnable task) {
    cancelTimer();
    timer = ioThread.executeAfter(task, delayMs, TimeUnit.MILLISECONDS);
  }

  private void cancelTimer() {
    if (timer != null) {
      timer.remove();
      timer = null;
    }
  }

  private void end(HttpEnd end, boolean closeConnection) {
    if (ended) {
      return;
    }
    ended = true;
    cancelTimer();
    if (connection != null) {
      if (closeConnection || request.freshConnection() || !connection.isOpen()) {
        connection.close();
      } else {
        dependencies
            .pool()
            .put(request.address(), connection, KeepAliveHeader.idleTimeoutMs(responseHeaders));
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
   * Components that all calls share.
   *
   * @param buffers pool of read buffers
   * @param clock monotonic clock
   * @param connectTimeoutMs timeout in milliseconds for opening a connection
   * @param connector opens connections
   * @param pool pool of idle connections
   * @param observer receives what calls show about network paths
   */
  record Dependencies(
      ByteBufferPool buffers,
      Clock clock,
      long connectTimeoutMs,
      UpstreamConnector connector,
      ConnectionPool pool,
      PathObserver observer) {}
}
