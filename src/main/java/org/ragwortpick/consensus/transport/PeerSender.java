package org.ragwortpick.consensus.transport;

import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.proto.ConsensusBatch;
import org.ragwortpick.proto.ConsensusGrpc;
import org.ragwortpick.proto.ConsensusMessage;
import org.ragwortpick.proto.ConsensusReply;

/**
 * Sends the messages of one group to one peer, one call at a time, so that they stay in order and
 * those that wait during a call share the next one. Messages of a failed call are lost; the
 * replicas repeat what matters.
 */
public final class PeerSender {

  /** Below the lowest election timeout, so that one silent connection costs no election. */
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
  private boolean calling;
  private boolean closed;

  /**
   * Creates a sender.
   *
   * @param group name of the group
   * @param clusterId cluster id of the settings
   * @param lineage lineage of the cluster as known at the time of a call
   * @param address peer address
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
   * Queues messages. They are dropped if too many bytes wait for a slow peer.
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

  /** Drops what is queued and sends nothing any more. */
  public synchronized void close() {
    closed = true;
    queue.clear();
  }

  private synchronized void callIfIdle() {
    if (calling || closed || queue.isEmpty()) {
      return;
    }
    calling = true;
    List<ConsensusMessage> next = new ArrayList<>();
    long bytes = 0;
    while (!queue.isEmpty() && bytes < MAX_CALL_BYTES) {
      ConsensusMessage message = queue.removeFirst();
      bytes += message.getSerializedSize();
      next.add(message);
    }
    queuedBytes -= bytes;
    ConsensusBatch batch =
        ConsensusBatch.newBuilder()
            .setClusterId(clusterId)
            .setLineage(lineage.get())
            .setGroup(group)
            .addAllMessages(next)
            .build();
    ManagedChannel channel = channels.channel(address);
    ConsensusGrpc.newStub(channel)
        .withDeadlineAfter(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .deliver(batch, new CallEnd(channel));
  }

  private synchronized void ended() {
    calling = false;
    callIfIdle();
  }

  private final class CallEnd implements StreamObserver<ConsensusReply> {

    private final ManagedChannel channel;

    CallEnd(ManagedChannel channel) {
      this.channel = channel;
    }

    @Override
    public void onNext(ConsensusReply reply) {
      // The reply has no content; the end of the call is what counts.
    }

    @Override
    public void onError(Throwable error) {
      if (Status.fromThrowable(error).getCode() == Status.Code.DEADLINE_EXCEEDED) {
        channels.replace(address, channel);
      } else {
        // The back-off of the channel grows to minutes; a restarted peer is to be found at once.
        channel.resetConnectBackoff();
      }
      ended();
    }

    @Override
    public void onCompleted() {
      ended();
    }
  }
}
