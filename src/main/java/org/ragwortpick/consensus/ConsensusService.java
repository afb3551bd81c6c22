package org.ragwortpick.consensus;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import org.ragwortpick.proto.ConsensusBatch;
import org.ragwortpick.proto.ConsensusDescribeRequest;
import org.ragwortpick.proto.ConsensusDescription;
import org.ragwortpick.proto.ConsensusGrpc;
import org.ragwortpick.proto.ConsensusReply;

/** gRPC service that receives the messages of the other control VMs. */
final class ConsensusService extends ConsensusGrpc.ConsensusImplBase {

  private final ConsensusHost host;

  /**
   * Creates the service.
   *
   * @param host host whose groups receive the messages
   */
  ConsensusService(ConsensusHost host) {
    this.host = host;
  }

  @Override
  public void deliver(ConsensusBatch batch, StreamObserver<ConsensusReply> reply) {
    try {
      host.deliver(batch);
      reply.onNext(ConsensusReply.getDefaultInstance());
      reply.onCompleted();
    } catch (IOException e) {
      reply.onError(Status.UNAVAILABLE.withDescription(e.getMessage()).asRuntimeException());
    }
  }

  @Override
  public void describe(
      ConsensusDescribeRequest request, StreamObserver<ConsensusDescription> reply) {
    reply.onNext(host.describe());
    reply.onCompleted();
  }
}
