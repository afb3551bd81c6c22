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
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.Supplier;
import org.ragwortpick.common.HostPort;
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
   * Timeout of one attempt. A commit takes a few milliseconds; an election of about one second is
   * bridged by retries.
   */
  private static final long ATTEMPT_TIMEOUT_MS = 500;

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
    HostPort address = target.get();
    ManagedChannel channel = channels.channel(address);
    long attemptTimeoutMs = Math.min(remainingMs, ATTEMPT_TIMEOUT_MS);
    ClientCalls.asyncUnaryCall(
        channel.newCall(
            method, CallOptions.DEFAULT.withDeadlineAfter(attemptTimeoutMs, TimeUnit.MILLISECONDS)),
        call.request(),
        new ReplyObserver(call, address, channel, attemptTimeoutMs == ATTEMPT_TIMEOUT_MS));
  }

  private void retryLater(Call<Q, R> call) {
    try {
      scheduler.schedule(() -> send(call), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      // The VM is stopping; the outcome of the call stays unknown.
      call.result().complete(Optional.empty());
    }
  }

  private void onReply(Call<Q, R> call, HostPort address, R reply) {
    Optional<Redirect> redirect = redirectOf.apply(reply);
    if (redirect.isEmpty()) {
      call.result().complete(Optional.of(reply));
      return;
    }
    Optional<HostPort> leader = redirect.get().leader().filter(hint -> !hint.equals(address));
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

  private final class ReplyObserver implements StreamObserver<R> {
    private final Call<Q, R> call;
    private final HostPort address;
    private final ManagedChannel channel;
    private final boolean fullTimeout;

    ReplyObserver(Call<Q, R> call, HostPort address, ManagedChannel channel, boolean fullTimeout) {
      this.call = call;
      this.address = address;
      this.channel = channel;
      this.fullTimeout = fullTimeout;
    }

    @Override
    public void onNext(R reply) {
      onReply(call, address, reply);
    }

    @Override
    public void onError(Throwable failure) {
      Status.Code code = Status.fromThrowable(failure).getCode();
      // The connect backoff of a channel grows to minutes; a restarted leader must be reached at
      // once.
      if (code == Status.Code.UNAVAILABLE) {
        channel.resetConnectBackoff();
      }
      // A shortened attempt that timed out does not indicate a broken connection.
      if (fullTimeout && code == Status.Code.DEADLINE_EXCEEDED) {
        channels.discard(address, channel);
      }
      onFailure(call, address);
    }

    @Override
    public void onCompleted() {
      // The only reply of a unary call was already handled.
    }
  }
}
