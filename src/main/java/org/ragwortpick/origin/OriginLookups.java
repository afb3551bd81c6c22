package org.ragwortpick.origin;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.Timers;

/** Asks all stores for the record of a request. Confined to one thread. */
final class OriginLookups {

  /** Longest duration of a look-up. */
  static final long TIMEOUT_MS = 300;

  /** Time for replies that contradict the first one; two round trips between data centres. */
  static final long CONTRADICTION_WAIT_MS = 20;

  /** Callers may invent ids, and each look-up asks all stores. */
  static final int MAX_IN_PROGRESS = 128;

  private final Supplier<List<HostPort>> stores;
  private final OriginStoreCalls calls;
  private final Timers timers;
  private int inProgress;

  /**
   * Creates an instance without look-ups.
   *
   * @param stores supplies the peer addresses of the stores
   * @param calls calls to the stores
   * @param timers timers of the thread
   */
  OriginLookups(Supplier<List<HostPort>> stores, OriginStoreCalls calls, Timers timers) {
    this.stores = stores;
    this.calls = calls;
    this.timers = timers;
  }

  /**
   * Begins a look-up. Too many at a time are answered without one.
   *
   * @param key key of the request
   * @param found receives the version once; empty if it is not certain
   */
  void find(OriginKey key, Consumer<Optional<String>> found) {
    List<HostPort> asked = stores.get();
    if (asked.isEmpty() || inProgress >= MAX_IN_PROGRESS) {
      found.accept(Optional.empty());
      return;
    }
    inProgress++;
    Lookup lookup = new Lookup(asked.size(), found);
    lookup.start();
    asked.forEach(store -> calls.find(store, key, lookup::onAnswer));
  }

  /** Look-up whose answers are outstanding. */
  private final class Lookup {

    private final Consumer<Optional<String>> found;
    private int outstanding;
    private Optional<String> version = Optional.empty();
    private boolean ended;
    private Timers.Timer timer = () -> {};

    Lookup(int outstanding, Consumer<Optional<String>> found) {
      this.outstanding = outstanding;
      this.found = found;
    }

    void start() {
      timer = timers.schedule(TIMEOUT_MS, this::end);
    }

    void onAnswer(OriginAnswer answer) {
      if (ended) {
        return;
      }
      outstanding--;
      Optional<String> answered = answer.certainVersion();
      if (answer instanceof OriginAnswer.Contradictory || contradicts(answered)) {
        version = Optional.empty();
        end();
        return;
      }
      boolean isFirst = version.isEmpty() && answered.isPresent();
      version = version.or(() -> answered);
      if (outstanding == 0) {
        end();
      } else if (isFirst) {
        timer.cancel();
        timer = timers.schedule(CONTRADICTION_WAIT_MS, this::end);
      }
    }

    private boolean contradicts(Optional<String> answered) {
      return version.isPresent() && answered.isPresent() && !version.equals(answered);
    }

    private void end() {
      if (ended) {
        return;
      }
      ended = true;
      timer.cancel();
      inProgress--;
      found.accept(version);
    }
  }
}
