package org.ragwortpick.entry.http;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.ragwortpick.entry.Timers;
import org.xnio.IoUtils;

/** Reads whole request bodies within limits of size and time. */
public final class BodyReader {

  private BodyReader() {}

  /** Why a body cannot be used. */
  public enum Fault {
    /** The body is longer than the limit. */
    TOO_LARGE,
    /** The body ended before its stated length. */
    INCOMPLETE
  }

  /**
   * Reads a body. The connection of a caller that does not send it in time is closed.
   *
   * @param exchange exchange of the request
   * @param limitBytes most bytes
   * @param timers timers
   * @param timeoutMs time to wait for the whole body in milliseconds
   * @param onBody receives the body on the I/O thread
   * @param onFault receives the fault on the I/O thread; the connection is not kept
   */
  public static void read(
      HttpServerExchange exchange,
      int limitBytes,
      Timers timers,
      long timeoutMs,
      Consumer<byte[]> onBody,
      Consumer<Fault> onFault) {
    if (exchange.getRequestContentLength() > limitBytes) {
      exchange.setPersistent(false);
      onFault.accept(Fault.TOO_LARGE);
      return;
    }
    AtomicBoolean ended = new AtomicBoolean();
    Timers.Timer timer = timers.schedule(timeoutMs, () -> closeUnlessEnded(exchange, ended));
    // The entity size of the exchange does not bound chunked bodies; the receiver does.
    Receiver receiver = exchange.getRequestReceiver();
    receiver.setMaxBufferSize(limitBytes);
    receiver.receiveFullBytes(
        (read, body) -> {
          timer.cancel();
          ended.set(true);
          exchange.dispatch(SameThreadExecutor.INSTANCE, () -> onBody.accept(body));
        },
        (failed, cause) -> {
          timer.cancel();
          ended.set(true);
          exchange.setPersistent(false);
          Fault fault =
              cause instanceof Receiver.RequestToLargeException
                  ? Fault.TOO_LARGE
                  : Fault.INCOMPLETE;
          exchange.dispatch(SameThreadExecutor.INSTANCE, () -> onFault.accept(fault));
        });
  }

  private static void closeUnlessEnded(HttpServerExchange exchange, AtomicBoolean ended) {
    if (ended.compareAndSet(false, true)) {
      exchange.getIoThread().execute(() -> IoUtils.safeClose(exchange.getConnection()));
    }
  }
}
