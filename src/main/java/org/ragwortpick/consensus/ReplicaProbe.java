package org.ragwortpick.consensus;

import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.vavr.control.Either;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.proto.ConsensusDescribeRequest;
import org.ragwortpick.proto.ConsensusDescription;
import org.ragwortpick.proto.ConsensusGrpc;

/** Asks other control VMs for the description of their replicas. */
public final class ReplicaProbe {

  private static final long TIMEOUT_MS = 2_000;

  private final PeerChannels channels;

  /**
   * Creates a probe.
   *
   * @param channels channels to the other control VMs; not closed by the probe
   */
  public ReplicaProbe(PeerChannels channels) {
    this.channels = channels;
  }

  /**
   * Asks whether a control VM hosts a replica. Blocks for up to two seconds.
   *
   * @param address peer address of the VM
   * @return what the VM responded
   */
  public Answer ask(HostPort address) {
    return describe(address)
        .fold(
            status ->
                status.getCode() == Status.Code.UNIMPLEMENTED
                    ? Answer.NO_REPLICA
                    : Answer.UNREACHABLE,
            description -> Answer.REPLICA);
  }

  /**
   * Asks a control VM to describe its replica.
   *
   * @param address peer address of the VM
   * @return the description, or why there is none
   */
  Either<Status, ConsensusDescription> describe(HostPort address) {
    ManagedChannel channel = channels.channel(address);
    // A VM that has just started must be reached without the reconnect backoff of the channel.
    channel.resetConnectBackoff();
    try {
      return Either.right(
          ConsensusGrpc.newBlockingStub(channel)
              .withDeadlineAfter(TIMEOUT_MS, TimeUnit.MILLISECONDS)
              .describe(ConsensusDescribeRequest.getDefaultInstance()));
    } catch (StatusRuntimeException e) {
      return Either.left(e.getStatus());
    }
  }

  /** Response of a control VM. */
  public enum Answer {
    /** The VM hosts a replica. */
    REPLICA,
    /** The VM runs without a disk and hosts no replica. */
    NO_REPLICA,
    /** The VM did not respond. */
    UNREACHABLE
  }
}
