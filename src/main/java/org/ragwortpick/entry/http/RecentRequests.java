package org.ragwortpick.entry.http;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.time.Clock;
import java.util.Collections;
import java.util.Map;
import java.util.WeakHashMap;
import org.ragwortpick.common.StallDetector;
import org.xnio.ChannelListener;
import org.xnio.StreamConnection;

/**
 * Tells which requests were certainly sent a short time ago. The handshake of a connection needs
 * its caller, so a request that is read soon after its connection was accepted cannot be old,
 * unless the process did not run and the connection waited for it. Nothing is certain about a
 * request on an older connection, which may have been cut in the meantime.
 */
public final class RecentRequests {

  /** Maximum age of a request that counts as recent; below the time for which callers wait. */
  private static final long RECENT_MS = 300;

  /** Time after a stall in which waiting connections are accepted and read. */
  private static final long AFTER_STALL_MS = 1_000;

  private final Clock clock;
  private final StallDetector stalls;
  private final Map<StreamConnection, Long> acceptedAtMs =
      Collections.synchronizedMap(new WeakHashMap<>());

  /**
   * Creates an empty record.
   *
   * @param clock monotonic clock
   * @param stalls detects that the process did not run
   */
  public RecentRequests(Clock clock, StallDetector stalls) {
    this.clock = clock;
    this.stalls = stalls;
  }

  /**
   * Records when each connection is accepted.
   *
   * @param next receives the connections
   * @return listener of accepted connections
   */
  public ChannelListener<StreamConnection> recording(ChannelListener<StreamConnection> next) {
    return connection -> {
      acceptedAtMs.put(connection, clock.millis());
      next.handleEvent(connection);
    };
  }

  /**
   * Tells whether a request that is being read now was certainly sent a short time ago.
   *
   * @param exchange exchange of the request
   * @return false if the request may be old
   */
  public boolean contains(HttpServerExchange exchange) {
    if (!(exchange.getConnection() instanceof AbstractServerConnection connection)) {
      return false;
    }
    Long atMs = acceptedAtMs.get(connection.getChannel());
    return atMs != null
        && clock.millis() - atMs <= RECENT_MS
        && !stalls.stalledWithin(AFTER_STALL_MS);
  }
}
