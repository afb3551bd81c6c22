package org.ragwortpick.entry.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import org.jboss.logging.Logger;
import org.xnio.channels.Channels;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads and discards the rest of a body that is refused. A connection that is closed with unread
 * bytes is reset, on which the caller may lose the response.
 */
public final class BodyDiscarder {

  private static final Logger LOG = Logger.getLogger(BodyDiscarder.class);

  /** Limit of the bytes that are discarded for one response. */
  private static final long MAX_DISCARDED_BYTES = 16 * 1024 * 1024;

  private final Runnable whenDone;
  private long discardedBytes;

  private BodyDiscarder(Runnable whenDone) {
    this.whenDone = whenDone;
  }

  /**
   * Discards the rest of a body, up to a limit.
   *
   * @param exchange exchange of the request
   * @param whenDone called on the I/O thread when nothing is left to discard, or no more is
   *     discarded
   */
  public static void discard(HttpServerExchange exchange, Runnable whenDone) {
    // A caller that waits for permission to send its body sends none.
    boolean sendsBody = !exchange.getRequestHeaders().contains(Headers.EXPECT);
    StreamSourceChannel body = sendsBody ? exchange.getRequestChannel() : null;
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () -> {
          if (body == null) {
            whenDone.run();
            return;
          }
          BodyDiscarder discarder = new BodyDiscarder(whenDone);
          body.getReadSetter().set(discarder::read);
          discarder.read(body);
        });
  }

  private void read(StreamSourceChannel body) {
    try {
      long count = Channels.drain(body, Long.MAX_VALUE);
      while (count > 0 && discardedBytes <= MAX_DISCARDED_BYTES) {
        discardedBytes += count;
        count = Channels.drain(body, Long.MAX_VALUE);
      }
      if (count == 0) {
        body.resumeReads();
        return;
      }
    } catch (IOException e) {
      LOG.debugf(e, "the rest of a refused body was not read");
    }
    body.getReadSetter().set(null);
    body.suspendReads();
    whenDone.run();
  }
}
