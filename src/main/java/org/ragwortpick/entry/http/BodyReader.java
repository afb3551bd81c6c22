package org.ragwortpick.entry.http;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.ragwortpick.entry.Timers;
import org.xnio.IoUtils;

/** Reads complete request bodies, within a size limit and a timeout. */
public final class BodyReader {

  private BodyReader() {}

  /** Reason for which a body is rejected. */
  public enum Fault {
    /** The body is longer than the limit. */
    TOO_LARGE,
    /**
     * The body ended before its stated length. The server closes the connection without a response
     * if chunks are missing or invalid; such a fault is reported, and no response can be sent.
     */
    INCOMPLETE
  }

  /**
   * Reads a body. If it is not complete within the timeout, the connection is closed.
   *
   * @param exchange exchange of the request
   * @param limitBytes largest body in bytes
   * @param timers timers for the timeout
   * @param timeoutMs time within which the whole body must arrive, in milliseconds
   * @param onBody receives the body on the I/O thread
   * @param onFault receives the fault on the I/O thread; the connection is closed after the
   *     response
   */
  public static void read(
      HttpServerExchange exchange,
      int limitBytes,
      Timers timers,
      long timeoutMs,
      Consumer<byte[]> onBody,
      Consumer<Fault> onFault) {
    AtomicBoolean ended = new AtomicBoolean();
    Timers.Timer timer = timers.schedule(timeoutMs, () -> closeUnlessEnded(exchange, ended));
    Runnable refuseTooLarge =
        () -> {
          timer.cancel();
          if (ended.compareAndSet(false, true)) {
            onFault.accept(Fault.TOO_LARGE);
          }
        };
    if (exchange.getRequestContentLength() > limitBytes) {
      exchange.setPersistent(false);
      BodyDiscarder.discard(exchange, refuseTooLarge);
      return;
    }
    // The content length check does not cover chunked bodies; the buffer limit does.
    Receiver receiver = exchange.getRequestReceiver();
    receiver.setMaxBufferSize(limitBytes);
    receiver.receiveFullBytes(
        (read, body) -> {
          timer.cancel();
          ended.set(true);
          exchange.dispatch(SameThreadExecutor.INSTANCE, () -> onBody.accept(body));
        },
        (failed, cause) -> {
          exchange.setPersistent(false);
          if (cause instanceof Receiver.RequestToLargeException) {
            BodyDiscarder.discard(exchange, refuseTooLarge);
            return;
          }
          timer.cancel();
          ended.set(true);
          exchange.dispatch(SameThreadExecutor.INSTANCE, () -> onFault.accept(Fault.INCOMPLETE));
        });
  }

  private static void close(HttpServerExchange exchange) {
    IoUtils.safeClose(exchange.getConnection());
    exchange.endExchange();
  }

  private static void closeUnlessEnded(HttpServerExchange exchange, AtomicBoolean ended) {
    if (ended.compareAndSet(false, true)) {
      exchange.getIoThread().execute(() -> close(exchange));
    }
  }
}
