package org.ragwortpick.sync.rpc;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import org.jboss.logging.Logger;
import org.ragwortpick.proto.SyncRequest;
import org.ragwortpick.proto.SyncResponse;
import org.ragwortpick.proto.SyncSourceGrpc;

/** gRPC service that responds to the polls of other VMs. */
public final class SyncServer extends SyncSourceGrpc.SyncSourceImplBase {

  private static final Logger LOG = Logger.getLogger(SyncServer.class);

  private final SyncExchange exchange;
  private final Runnable pollTrigger;

  /**
   * Creates the service.
   *
   * @param exchange protocol logic
   * @param pollTrigger called to poll early, after a request that contains demands for cold
   *     allowances
   */
  public SyncServer(SyncExchange exchange, Runnable pollTrigger) {
    this.exchange = exchange;
    this.pollTrigger = pollTrigger;
  }

  @Override
  public void sync(SyncRequest request, StreamObserver<SyncResponse> observer) {
    SyncResponse response;
    try {
      response = exchange.respond(request);
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      LOG.warnf(e, "refused a poll of VM %s: the request cannot be decoded", request.getVm());
      observer.onError(Status.INVALID_ARGUMENT.withDescription(e.getMessage()).asException());
      return;
    }
    observer.onNext(response);
    observer.onCompleted();
    if (request.getDemandsCount() > 0) {
      pollTrigger.run();
    }
  }
}
