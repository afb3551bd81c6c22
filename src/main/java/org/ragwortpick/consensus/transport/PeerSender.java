package org.ragwortpick.consensus.transport;

import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.StreamObserver;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.peer.LargeMessages;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.proto.ConsensusBatch;
import org.ragwortpick.proto.ConsensusGrpc;
import org.ragwortpick.proto.ConsensusMessage;
import org.ragwortpick.proto.ConsensusReply;

/**
 * Sends the messages of one group to one peer. Only one gRPC call is in progress at a time, so that
 * messages stay in order and those queued during a call are batched in the next one. Messages of a
 * failed call are lost; the Raft protocol resends what is needed.
 */
public final class PeerSender {

  /** Below the minimum election timeout, so that one silent connection causes no election. */
  private static final long CALL_TIMEOUT_MS = 400;

  private static final long MAX_QUEUED_BYTES = 16L * 1024 * 1024;
  private static final long MAX_CALL_BYTES = 4L * 1024 * 1024;

  private final String group;
  private final String clusterId;
  private final Supplier<String> lineage;
  private final HostPort address;
  private final PeerChannels channels;
  private final Deque<ConsensusMessage> queue = new ArrayDeque<>();
  private long queuedBytes;
  private boolean callInProgress;
  private boolean closed;

  /**
   * Creates a sender.
   *
   * @param group name of the group
   * @param clusterId cluster id of the settings
   * @param lineage returns the current lineage of the data folder
   * @param address address of the peer
   * @param channels channels to peers
   */
  public PeerSender(
      String group,
      String clusterId,
      Supplier<String> lineage,
      HostPort address,
      PeerChannels channels) {
    this.group = group;
    this.clusterId = clusterId;
    this.lineage = lineage;
    this.address = address;
    this.channels = channels;
  }

  /**
   * Queues messages, or drops them if the queue of the peer is full.
   *
   * @param messages messages in order
   */
  public synchronized void send(List<ConsensusMessage> messages) {
    for (ConsensusMessage message : messages) {
      if (queuedBytes <= MAX_QUEUED_BYTES) {
        queue.add(message);
        queuedBytes += message.getSerializedSize();
      }
    }
    callIfIdle();
  }

  /** Discards the queue and stops sending. */
  public synchronized void close() {
    closed = true;
    queue.clear();
  }

  private synchronized void callIfIdle() {
    if (callInProgress || closed || queue.isEmpty()) {
      return;
    }
    callInProgress = true;
    List<ConsensusMessage> batchMessages = new ArrayList<>();
    long bytes = 0;
    while (!queue.isEmpty() && bytes < MAX_CALL_BYTES) {
      ConsensusMessage message = queue.removeFirst();
      bytes += message.getSerializedSize();
      batchMessages.add(message);
    }
    queuedBytes -= bytes;
    ConsensusBatch batch =
        ConsensusBatch.newBuilder()
            .setClusterId(clusterId)
            .setLineage(lineage.get())
            .setGroup(group)
            .addAllMessages(batchMessages)
            .build();
    ManagedChannel channel = channels.channel(address);
    CallOptions options =
        LargeMessages.compressed(CallOptions.DEFAULT, batch)
            .withDeadlineAfter(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    ClientCalls.asyncUnaryCall(
        channel.newCall(ConsensusGrpc.getDeliverMethod(), options),
        batch,
        new CallObserver(channel));
  }

  private synchronized void onCallEnded() {
    callInProgress = false;
    callIfIdle();
  }

  private final class CallObserver implements StreamObserver<ConsensusReply> {

    private final ManagedChannel channel;

    CallObserver(ManagedChannel channel) {
      this.channel = channel;
    }

    @Override
    public void onNext(ConsensusReply reply) {
      // The reply is empty; onCompleted handles the end of the call.
    }

    @Override
    public void onError(Throwable error) {
      if (Status.fromThrowable(error).getCode() == Status.Code.DEADLINE_EXCEEDED) {
        channels.discard(address, channel);
      } else {
        // The backoff of the channel grows to minutes; a restarted peer must be reachable at once.
        channel.resetConnectBackoff();
      }
      onCallEnded();
    }

    @Override
    public void onCompleted() {
      onCallEnded();
    }
  }
}
