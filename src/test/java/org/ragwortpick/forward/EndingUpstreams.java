package org.ragwortpick.forward;

import java.io.EOFException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.entry.http.RawUpstream;

/**
 * Upstreams that end under some requests. Each starts again at once, at the same address with
 * another id.
 */
final class EndingUpstreams implements AutoCloseable {

  private static final String EVENTS = "Content-Type: text/event-stream\r\n";
  private static final String EVENT = "id: 1\ndata: a\n\n";

  private final ForwardTestServer server;
  private final Predicate<Map<String, String>> harmful;
  private final boolean afterHead;
  private final MonotonicClock clock = new MonotonicClock();
  private final ConcurrentLinkedQueue<Long> endsMs = new ConcurrentLinkedQueue<>();
  private final AtomicInteger starts = new AtomicInteger();
  private final List<RawUpstream> upstreams = new ArrayList<>();

  /**
   * Creates the group without an upstream.
   *
   * @param server server that sends to them
   * @param harmful whether a request, given by its headers and body, ends the upstream
   * @param afterHead whether the upstream ends after the head of its response
   */
  EndingUpstreams(
      ForwardTestServer server, Predicate<Map<String, String>> harmful, boolean afterHead) {
    this.server = server;
    this.harmful = harmful;
    this.afterHead = afterHead;
  }

  void start(int count) throws IOException {
    for (int i = 0; i < count; i++) {
      start();
    }
  }

  private void start() throws IOException {
    CompletableFuture<RawUpstream> started = new CompletableFuture<>();
    AtomicInteger number = new AtomicInteger(starts.incrementAndGet());
    RawUpstream upstream =
        new RawUpstream(
            (c, r, request) -> {
              if (!harmful.test(request)) {
                return RawUpstream.response(request, EVENTS, EVENT);
              }
              endsMs.add(clock.millis());
              server.withdraw("u" + number.get());
              number.set(starts.incrementAndGet());
              server.announce("u" + number.get(), started.join().address());
              if (!afterHead) {
                throw new EOFException("the upstream ends before the head of its response");
              }
              return RawUpstream.head(request, EVENTS + "Connection: close\r\n") + "id: 1";
            });
    started.complete(upstream);
    upstreams.add(upstream);
    server.announce("u" + number.get(), upstream.address());
  }

  /** Returns the number of upstreams that ended. */
  int ends() {
    return endsMs.size();
  }

  /** Returns the number of those that ended later than a time after another one. */
  long endsLaterThan(long afterMs, int otherEnd) {
    List<Long> sorted = endsMs.stream().sorted().toList();
    return sorted.size() < otherEnd
        ? 0
        : sorted.stream().filter(ms -> ms > sorted.get(otherEnd - 1) + afterMs).count();
  }

  @Override
  public void close() throws IOException {
    for (RawUpstream upstream : upstreams) {
      upstream.close();
    }
  }
}
