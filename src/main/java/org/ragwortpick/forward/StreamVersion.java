package org.ragwortpick.forward;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.ragwortpick.entry.Timers;
import org.ragwortpick.origin.StreamOrigins;
import org.ragwortpick.sync.Upstream;

/**
 * Version of the upstreams that may run one request. On resumable streaming routes it is the
 * version that began the stream, or the one to which the request was sent first; on others all
 * versions may run it. Confined to the I/O thread.
 */
final class StreamVersion {

  /** Time after the deadline of a request for which its caller may take its stream up. */
  private static final long TAKE_UP_WINDOW_MS = 30_000;

  /** How the version of a stream that is taken up was looked up. */
  enum LookUp {
    /** The request takes up no stream of a resumable route. */
    NOT_NEEDED,
    /** The request does not name the one that began the stream. */
    NOT_NAMED,
    /** The look-up has not ended. */
    PENDING,
    /** The local VM had the record. */
    OWN,
    /** Another VM had the record. */
    FOUND,
    /** No VM that responded had a record. */
    UNKNOWN
  }

  private final CallerRequest request;
  private final String service;
  private final TakeUp takeUp;
  private final StreamOrigins origins;
  private final VersionsSeen versionsSeen;
  private final Timers timers;
  private LookUp lookUp = LookUp.NOT_NEEDED;
  private Optional<String> version = Optional.empty();

  /**
   * Creates the version of a request that was not sent yet.
   *
   * @param request the request
   * @param service service that runs it
   * @param takeUp stream that the request takes up
   * @param origins versions at which streams began
   * @param versionsSeen versions that the local VM has seen
   * @param timers timers on the I/O thread
   */
  StreamVersion(
      CallerRequest request,
      String service,
      TakeUp takeUp,
      StreamOrigins origins,
      VersionsSeen versionsSeen,
      Timers timers) {
    this.request = request;
    this.service = service;
    this.takeUp = takeUp;
    this.origins = origins;
    this.versionsSeen = versionsSeen;
    this.timers = timers;
  }

  /**
   * Creates the version of a request that was not sent yet.
   *
   * @param request the request
   * @param service service that runs it
   * @param dependencies dependencies that all requests share
   * @return the version, which is not determined
   */
  static StreamVersion of(CallerRequest request, String service, ForwardDependencies dependencies) {
    return new StreamVersion(
        request,
        service,
        TakeUp.of(request.headers(), dependencies.headers()),
        dependencies.streamOrigins(),
        dependencies.versionsSeen(),
        dependencies.timers());
  }

  /**
   * Determines the version that began the stream, if the request takes one up.
   *
   * @param whenDetermined called on the I/O thread, before this method returns if no other VM has
   *     to be asked
   */
  void determine(Runnable whenDetermined) {
    if (!isTakeUp()) {
      whenDetermined.run();
      return;
    }
    if (takeUp.resumedId().isEmpty()) {
      onLookedUp(LookUp.NOT_NAMED, Optional.empty(), whenDetermined);
      return;
    }
    lookUp = LookUp.PENDING;
    AtomicBoolean asksOthers = new AtomicBoolean();
    Thread ioThread = Thread.currentThread();
    origins.find(
        takeUp.resumedId().get(),
        found -> {
          LookUp end = asksOthers.get() ? LookUp.FOUND : LookUp.OWN;
          LookUp known = found.isPresent() ? end : LookUp.UNKNOWN;
          if (Thread.currentThread() == ioThread) {
            onLookedUp(known, found, whenDetermined);
          } else {
            timers.schedule(0, () -> onLookedUp(known, found, whenDetermined));
          }
        });
    asksOthers.set(true);
  }

  private void onLookedUp(LookUp end, Optional<String> found, Runnable whenDetermined) {
    lookUp = end;
    version = found.or(() -> versionsSeen.onlyVersion(service, request.route().timeoutMs()));
    whenDetermined.run();
  }

  /**
   * Returns whether the request takes up a stream of a resumable route.
   *
   * @return whether only the version that began the stream may run the request
   */
  boolean isTakeUp() {
    return takeUp.present() && request.route().isResumableStream();
  }

  /**
   * Returns whether the request can be sent.
   *
   * @return false while the version that began the stream is looked up
   */
  boolean isDetermined() {
    return lookUp != LookUp.PENDING;
  }

  /**
   * Returns what prevents the stream from going on.
   *
   * @param chooser knows the upstreams
   * @return empty for requests that take up no stream, and while the look-up has not ended
   */
  Optional<StreamObstacle> obstacle(UpstreamChooser chooser) {
    if (!isTakeUp() || !isDetermined()) {
      return Optional.empty();
    }
    if (!versionsSeen.isViewRecent()) {
      return Optional.of(StreamObstacle.VIEW_OUTDATED);
    }
    if (version.isEmpty()) {
      return Optional.of(StreamObstacle.VERSION_UNKNOWN);
    }
    return chooser.isAvailable(target())
        ? Optional.empty()
        : Optional.of(StreamObstacle.VERSION_GONE);
  }

  /**
   * Returns the upstreams that may run the request.
   *
   * @return upstreams of the determined version, or of any if none is determined
   */
  ServiceVersion target() {
    return new ServiceVersion(service, version);
  }

  /**
   * Returns whether the request may be written to an upstream that was chosen before.
   *
   * @param upstream the upstream
   * @return false if a stream would go on at a version that may not be the one that began it
   */
  boolean permits(Upstream upstream) {
    return target().allows(upstream) && (!isTakeUp() || versionsSeen.isViewRecent());
  }

  /**
   * Records the version when the first byte of an attempt is about to be written. All later
   * attempts stay at it, so that the record remains true.
   *
   * @param upstream upstream of the attempt
   * @param remainingMs time until the deadline of the request in milliseconds
   */
  void onWritten(Upstream upstream, long remainingMs) {
    if (!request.route().isResumableStream()) {
      return;
    }
    version = Optional.of(upstream.version());
    // An old view may not show that the upstream has started again with another version.
    if (versionsSeen.isViewRecent()) {
      origins.record(request.id(), upstream.version(), remainingMs + TAKE_UP_WINDOW_MS);
    }
  }

  /**
   * Returns the stream that the request takes up.
   *
   * @return what the headers of the request state
   */
  TakeUp takeUp() {
    return takeUp;
  }

  /**
   * Returns how the version was looked up.
   *
   * @return the end of the look-up
   */
  LookUp lookUp() {
    return lookUp;
  }
}
