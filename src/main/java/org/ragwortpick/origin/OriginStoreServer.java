package org.ragwortpick.origin;

import io.grpc.stub.StreamObserver;
import java.util.List;
import org.ragwortpick.proto.FindOriginReply;
import org.ragwortpick.proto.FindOriginRequest;
import org.ragwortpick.proto.RecordOriginsReply;
import org.ragwortpick.proto.RecordOriginsRequest;
import org.ragwortpick.proto.StreamOriginStoreGrpc;

/** gRPC service of the store on a control VM. Its calls do not block. */
public final class OriginStoreServer extends StreamOriginStoreGrpc.StreamOriginStoreImplBase {

  private final OriginStore store;

  /**
   * Creates the service.
   *
   * @param store store of this VM
   */
  public OriginStoreServer(OriginStore store) {
    this.store = store;
  }

  @Override
  public void record(RecordOriginsRequest request, StreamObserver<RecordOriginsReply> reply) {
    List<OriginRecord> records = OriginCodec.decode(request.getVersionsList());
    store.add(records.subList(0, Math.min(records.size(), OriginSender.MAX_BATCH_RECORDS)));
    reply.onNext(RecordOriginsReply.getDefaultInstance());
    reply.onCompleted();
  }

  @Override
  public void find(FindOriginRequest request, StreamObserver<FindOriginReply> reply) {
    OriginAnswer answer =
        OriginCodec.decodeKey(request.getKey())
            .map(store::find)
            .orElseGet(OriginAnswer.Unknown::new);
    reply.onNext(OriginCodec.encode(answer));
    reply.onCompleted();
  }
}
