package org.ragwortpick.entry.upstream;

import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragwortpick.common.HostPort;

/**
 * Pool of idle connections by upstream address. The most recently used one is reused first.
 *
 * <p>An open socket does not show that the network path still works, so a connection is reused only
 * if its last progress is recent.
 */
final class ConnectionPool {

  /** Bounds the idle connections after a burst. An upstream runs far fewer requests at once. */
  private static final int MAX_IDLE_PER_ADDRESS = 64;

  /** Margin for upstreams that count their idle timeout from an earlier moment than this VM. */
  private static final long CLOSING_MARGIN_MS = 500;

  private final Clock clock;
  private final long staleAfterMs;
  private final int maxIdle;
  private final Map<HostPort, Deque<IdleConnection>> idleByAddress = new HashMap<>();
  private int idleCount;
  private boolean closed;

  /**
   * Creates a pool.
   *
   * @param clock monotonic clock
   * @param staleAfterMs age of the last progress in milliseconds from which a connection is closed
   * @param maxIdle largest number of idle connections to all upstreams
   */
  ConnectionPool(Clock clock, long staleAfterMs, int maxIdle) {
    this.maxIdle = maxIdle;
    this.clock = clock;
    this.staleAfterMs = staleAfterMs;
  }

  /**
   * Removes and returns the most recently used connection with recent progress. Stale connections
   * that are skipped are closed.
   *
   * @param address address of the upstream
   * @return an open connection, or empty if a new one has to be opened
   */
  Optional<UpstreamConnection> take(HostPort address) {
    List<IdleConnection> toClose = new ArrayList<>();
    Optional<UpstreamConnection> found = Optional.empty();
    synchronized (this) {
      Deque<IdleConnection> connections = idleByAddress.get(address);
      while (found.isEmpty() && connections != null && !connections.isEmpty()) {
        IdleConnection candidate = connections.pop();
        idleCount--;
        if (clock.millis() - candidate.progressAtMs() < candidate.usableMs()
            && candidate.connection().isOpen()) {
          found = Optional.of(candidate.connection());
        } else {
          toClose.add(candidate);
        }
      }
    }
    toClose.forEach(IdleConnection::close);
    return found;
  }

  /**
   * Adds a connection whose response has just been read completely.
   *
   * @param address address of the upstream
   * @param connection the connection
   * @param idleTimeoutMs time in milliseconds after which the upstream closes an idle connection;
   *     {@link Long#MAX_VALUE} if it states none
   */
  void put(HostPort address, UpstreamConnection connection, long idleTimeoutMs) {
    long usableMs = Math.min(staleAfterMs, idleTimeoutMs - CLOSING_MARGIN_MS);
    IdleConnection added = new IdleConnection(connection, clock.millis(), usableMs);
    List<IdleConnection> toClose = new ArrayList<>();
    synchronized (this) {
      if (closed) {
        toClose.add(added);
      } else {
        Deque<IdleConnection> connections =
            idleByAddress.computeIfAbsent(address, key -> new ArrayDeque<>());
        connections.push(added);
        idleCount++;
        if (connections.size() > MAX_IDLE_PER_ADDRESS) {
          toClose.add(connections.removeLast());
          idleCount--;
        }
        if (idleCount > maxIdle) {
          toClose.add(removeLeastRecentlyUsed());
        }
      }
    }
    toClose.forEach(IdleConnection::close);
  }

  private IdleConnection removeLeastRecentlyUsed() {
    Deque<IdleConnection> oldest =
        idleByAddress.values().stream()
            .filter(connections -> !connections.isEmpty())
            .min(Comparator.comparingLong(connections -> connections.getLast().progressAtMs()))
            .orElseThrow();
    idleCount--;
    return oldest.removeLast();
  }

  /**
   * Returns the number of idle connections.
   *
   * @return number of connections to all upstreams
   */
  synchronized int idleCount() {
    return idleCount;
  }

  /**
   * Closes the idle connections without progress since the given time. Called after a call timed
   * out, since other connections over the same network path are then likely to be broken too.
   *
   * @param address address of the upstream
   * @param sinceMs time on the clock in milliseconds
   */
  void closeWithoutProgressSince(HostPort address, long sinceMs) {
    List<IdleConnection> toClose = new ArrayList<>();
    synchronized (this) {
      Iterator<IdleConnection> connections =
          idleByAddress.getOrDefault(address, new ArrayDeque<>()).iterator();
      while (connections.hasNext()) {
        IdleConnection candidate = connections.next();
        if (candidate.progressAtMs() < sinceMs) {
          connections.remove();
          idleCount--;
          toClose.add(candidate);
        }
      }
    }
    toClose.forEach(IdleConnection::close);
  }

  /** Closes all idle connections and those added later. */
  void close() {
    List<IdleConnection> toClose = new ArrayList<>();
    synchronized (this) {
      closed = true;
      idleByAddress.values().forEach(toClose::addAll);
      idleByAddress.clear();
      idleCount = 0;
    }
    toClose.forEach(IdleConnection::close);
  }

  private record IdleConnection(UpstreamConnection connection, long progressAtMs, long usableMs) {

    private void close() {
      connection.ioThread().execute(connection::close);
    }
  }
}
