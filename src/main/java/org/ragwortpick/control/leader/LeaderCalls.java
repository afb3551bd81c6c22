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
 * Calls to the leader of one consensus group. A call is sent again until a leader answers it or its
 * time is over, so it must have no further effect when it arrives twice.
 *
 * @param <Q> type of the request
 * @param <R> type of the reply
 */
public final class LeaderCalls<Q, R> {

  /**
   * Time after which a peer counts as silent. A commit takes a few milliseconds; an election of
   * about one second is bridged by sending the call again.
   */
  private static final long TRY_TIMEOUT_MS = 500;

  private static final long RETRY_DELAY_MS = 50;

  /** Hints that are followed at once; during an election two replicas may name each other. */
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
   * @param redirectOf tells whether a reply is no answer and where the leader is
   * @param monotonicClock clock for timeouts
   * @param scheduler runs repetitions
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
   * @param timeoutMs time to wait in milliseconds
   * @return the reply of the leader; empty if none arrived in time, in which case the request may
   *     or may not have taken effect
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
    long tryTimeoutMs = Math.min(remainingMs, TRY_TIMEOUT_MS);
    ClientCalls.asyncUnaryCall(
        channel.newCall(
            method, CallOptions.DEFAULT.withDeadlineAfter(tryTimeoutMs, TimeUnit.MILLISECONDS)),
        call.request(),
        new ReplyObserver(call, address, channel, tryTimeoutMs == TRY_TIMEOUT_MS));
  }

  private void sendLater(Call<Q, R> call) {
    try {
      scheduler.schedule(() -> send(call), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      // The VM stops; the outcome of the call stays unknown.
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
      turnFrom(address);
    }
    if (leader.isPresent() && call.redirects() < MAX_DIRECT_REDIRECTS) {
      send(call.redirected());
    } else {
      sendLater(call);
    }
  }

  private void onFailure(Call<Q, R> call, HostPort address) {
    turnFrom(address);
    sendLater(call);
  }

  /** Directs the next call to the control VM listed after an address that did not help. */
  private void turnFrom(HostPort address) {
    List<HostPort> known = controlAddresses.get();
    int next = (known.indexOf(address) + 1) % known.size();
    target.compareAndSet(address, known.get(next));
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
      // A channel waits longer after each refused connection, up to minutes; a restarted leader
      // must be reached at once.
      if (code == Status.Code.UNAVAILABLE) {
        channel.resetConnectBackoff();
      }
      // A call that had little time left says nothing about the connection.
      if (fullTimeout && code == Status.Code.DEADLINE_EXCEEDED) {
        channels.replace(address, channel);
      }
      onFailure(call, address);
    }

    @Override
    public void onCompleted() {
      // A unary call ends with its only reply, which was handled already.
    }
  }
}
