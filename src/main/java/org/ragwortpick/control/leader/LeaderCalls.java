package org.ragwortpick.control.leader;

import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.StreamObserver;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.Supplier;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.peer.LargeMessages;
import org.ragwortpick.peer.PeerChannels;

/**
 * Calls to the leader of one consensus group. A call is retried until a leader replies or its
 * timeout expires, so it must be idempotent.
 *
 * @param <Q> type of the request
 * @param <R> type of the reply
 */
public final class LeaderCalls<Q, R> {

  /**
   * Time without a reply after which the next attempt starts. A commit takes a few milliseconds; an
   * election of about one second is bridged by retries. The attempt before goes on until the
   * timeout of the call, because a busy leader may be about to reply.
   */
  private static final long NEXT_ATTEMPT_MS = 500;

  private static final long RETRY_DELAY_MS = 50;

  /** Redirects followed without delay; during an election two replicas may name each other. */
  private static final int MAX_DIRECT_REDIRECTS = 2;

  private final PeerChannels channels;
  private final Supplier<List<HostPort>> controlAddresses;
  private final MethodDescriptor<Q, R> method;
  private final Function<R, Optional<Redirect>> redirectOf;
  private final Clock monotonicClock;
  private final ScheduledExecutorService scheduler;
  private final AtomicReference<HostPort> target;

  /**
   * Creates the calls to one group.
   *
   * @param channels channels to the peers
   * @param controlAddresses peer addresses of the control VMs, at least one
   * @param method remote method
   * @param redirectOf extracts the redirect from a reply; empty if the leader executed the call
   * @param monotonicClock clock for timeouts
   * @param scheduler runs retries
   */
  public LeaderCalls(
      PeerChannels channels,
      Supplier<List<HostPort>> controlAddresses,
      MethodDescriptor<Q, R> method,
      Function<R, Optional<Redirect>> redirectOf,
      Clock monotonicClock,
      ScheduledExecutorService scheduler) {
    this.channels = channels;
    this.controlAddresses = controlAddresses;
    this.method = method;
    this.redirectOf = redirectOf;
    this.monotonicClock = monotonicClock;
    this.scheduler = scheduler;
    this.target = new AtomicReference<>(controlAddresses.get().get(0));
  }

  /**
   * Calls the leader.
   *
   * @param request the request
   * @param timeoutMs timeout in milliseconds
   * @return the reply of the leader; empty if none arrived before the timeout, in which case the
   *     request may or may not have taken effect
   */
  public CompletionStage<Optional<R>> call(Q request, long timeoutMs) {
    CompletableFuture<Optional<R>> result = new CompletableFuture<>();
    send(new Call<>(request, monotonicClock.millis() + timeoutMs, 0, result));
    return result;
  }

  private void send(Call<Q, R> call) {
    long remainingMs = call.deadlineMs() - monotonicClock.millis();
    if (remainingMs <= 0) {
      call.result().complete(Optional.empty());
      return;
    }
    if (call.result().isDone()) {
      return;
    }
    HostPort address = target.get();
    ManagedChannel channel = channels.channel(address);
    Attempt attempt = new Attempt(call, address, channel);
    if (remainingMs > NEXT_ATTEMPT_MS) {
      attempt.scheduleNext();
    }
    CallOptions options =
        LargeMessages.compressed(CallOptions.DEFAULT, call.request())
            .withDeadlineAfter(remainingMs, TimeUnit.MILLISECONDS);
    ClientCalls.asyncUnaryCall(channel.newCall(method, options), call.request(), attempt);
  }

  private void retryLater(Call<Q, R> call) {
    try {
      scheduler.schedule(() -> send(call), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      // The VM is stopping; the outcome of the call stays unknown.
      call.result().complete(Optional.empty());
    }
  }

  private void onRedirect(Call<Q, R> call, HostPort address, Redirect redirect) {
    Optional<HostPort> leader = redirect.leader().filter(hint -> !hint.equals(address));
    if (leader.isPresent()) {
      target.compareAndSet(address, leader.get());
    } else {
      selectNextTarget(address);
    }
    if (leader.isPresent() && call.redirects() < MAX_DIRECT_REDIRECTS) {
      send(call.redirected());
    } else {
      retryLater(call);
    }
  }

  private void onFailure(Call<Q, R> call, HostPort address) {
    selectNextTarget(address);
    retryLater(call);
  }

  /** Directs the next attempt to the control VM listed after an address that gave no result. */
  private void selectNextTarget(HostPort address) {
    List<HostPort> addresses = controlAddresses.get();
    int next = (addresses.indexOf(address) + 1) % addresses.size();
    target.compareAndSet(address, addresses.get(next));
  }

  private record Call<Q, R>(
      Q request, long deadlineMs, int redirects, CompletableFuture<Optional<R>> result) {

    Call<Q, R> redirected() {
      return new Call<>(request, deadlineMs, redirects + 1, result);
    }
  }

  private final class Attempt implements StreamObserver<R> {
    private final Call<Q, R> call;
    private final HostPort address;
    private final ManagedChannel channel;

    /**
     * Whether this attempt ended or another one follows it; only one of both may start the next.
     */
    private final AtomicBoolean followed = new AtomicBoolean();

    private volatile Future<?> next = CompletableFuture.completedFuture(null);

    Attempt(Call<Q, R> call, HostPort address, ManagedChannel channel) {
      this.call = call;
      this.address = address;
      this.channel = channel;
    }

    void scheduleNext() {
      try {
        next = scheduler.schedule(this::startNext, NEXT_ATTEMPT_MS, TimeUnit.MILLISECONDS);
      } catch (RejectedExecutionException e) {
        // The VM is stopping; this attempt is the last one.
        followed.set(true);
      }
    }

    private void startNext() {
      if (followed.compareAndSet(false, true)) {
        channels.discard(address, channel);
        onFailure(call, address);
      }
    }

    @Override
    public void onNext(R reply) {
      next.cancel(false);
      boolean isLast = followed.compareAndSet(false, true);
      Optional<Redirect> redirect = redirectOf.apply(reply);
      if (redirect.isEmpty()) {
        call.result().complete(Optional.of(reply));
      } else if (isLast) {
        onRedirect(call, address, redirect.get());
      }
    }

    @Override
    public void onError(Throwable failure) {
      next.cancel(false);
      // The connect backoff of a channel grows to minutes; a restarted leader must be reached at
      // once.
      if (Status.fromThrowable(failure).getCode() == Status.Code.UNAVAILABLE) {
        channel.resetConnectBackoff();
      }
      if (followed.compareAndSet(false, true)) {
        onFailure(call, address);
      }
    }

    @Override
    public void onCompleted() {
      // The only reply of a unary call was already handled.
    }
  }
}
