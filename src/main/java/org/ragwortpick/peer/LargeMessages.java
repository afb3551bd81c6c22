package org.ragwortpick.peer;

import com.google.protobuf.MessageLite;
import io.grpc.CallOptions;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;

/**
 * Compresses large messages, so that a slow link carries them within the timeout of their call.
 * Configurations are JSON texts, which become much smaller.
 */
public final class LargeMessages {

  /** Size in bytes from which a message is compressed. */
  private static final int COMPRESSED_FROM_BYTES = 16 * 1_024;

  private static final String COMPRESSION = "gzip";

  private LargeMessages() {}

  /**
   * Returns options with which a request is sent.
   *
   * @param options other options of the call
   * @param request the request
   * @return the options; with compression if the request is large
   */
  public static CallOptions compressed(CallOptions options, Object request) {
    return isLarge(request) ? options.withCompression(COMPRESSION) : options;
  }

  /**
   * Sets the compression of the reply to a call, before it is sent.
   *
   * @param observer observer of the call on the server
   * @param reply the reply
   */
  public static void compressReply(StreamObserver<?> observer, Object reply) {
    if (isLarge(reply) && observer instanceof ServerCallStreamObserver<?> call) {
      call.setCompression(COMPRESSION);
    }
  }

  private static boolean isLarge(Object message) {
    return message instanceof MessageLite encoded
        && encoded.getSerializedSize() >= COMPRESSED_FROM_BYTES;
  }
}
