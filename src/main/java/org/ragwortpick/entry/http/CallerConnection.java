package org.ragwortpick.entry.http;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Detects that a caller closes its connection while its request runs.
 *
 * <p>Undertow does not read between the end of a request and the end of its response, so a close
 * would stay undetected. A connection that is half-closed by the caller counts as closed.
 */
public final class CallerConnection {

  private static final AttachmentKey<CallerConnection> KEY =
      AttachmentKey.create(CallerConnection.class);

  private volatile Runnable onClose = () -> {};

  private CallerConnection() {}

  /**
   * Watches the connection until the exchange ends. Must run on the I/O thread of the connection,
   * after the body was read.
   *
   * @param exchange exchange of the request
   * @param onClose action to run if the connection closes before the exchange ends
   */
  public static void watch(HttpServerExchange exchange, Runnable onClose) {
    ServerConnection connection = exchange.getConnection();
    CallerConnection attached = connection.getAttachment(KEY);
    if (attached == null) {
      CallerConnection added = new CallerConnection();
      connection.putAttachment(KEY, added);
      connection.addCloseListener(closed -> added.onClose.run());
      attached = added;
    }
    attached.onClose = onClose;
    CallerConnection current = attached;
    exchange.addExchangeCompleteListener(
        (ended, next) -> {
          current.onClose = () -> {};
          next.proceed();
        });
    if (!connection.isOpen()) {
      onClose.run();
    } else if (connection instanceof AbstractServerConnection tcp && tcp.getExtraBytes() == null) {
      tcp.getChannel().getSourceChannel().setReadListener(source -> probe(tcp, source));
      tcp.getOriginalSourceConduit().resumeReads();
    }
  }

  /**
   * Detects a close that has arrived already. Otherwise it shows only after the I/O thread has
   * handled what it read from other connections. Must run on the I/O thread, after {@link #watch}.
   *
   * @param exchange exchange of the request
   */
  public static void detectClose(HttpServerExchange exchange) {
    if (exchange.getConnection() instanceof AbstractServerConnection tcp
        && tcp.isOpen()
        && tcp.getExtraBytes() == null) {
      probe(tcp, tcp.getChannel().getSourceChannel());
    }
  }

  private static void probe(AbstractServerConnection tcp, ConduitStreamSourceChannel source) {
    tcp.getOriginalSourceConduit().suspendReads();
    PooledByteBuffer buffer = tcp.getByteBufferPool().allocate();
    boolean isBufferKept = false;
    try {
      int count = tcp.getOriginalSourceConduit().read(buffer.getBuffer());
      if (count < 0) {
        IoUtils.safeClose(tcp);
      } else if (count == 0) {
        tcp.getOriginalSourceConduit().resumeReads();
      } else {
        // The caller pipelined its next request; the server parses it after this one.
        buffer.getBuffer().flip();
        tcp.setExtraBytes(buffer);
        isBufferKept = true;
      }
    } catch (IOException e) {
      IoUtils.safeClose(tcp);
    } finally {
      if (!isBufferKept) {
        buffer.close();
      }
    }
  }
}
