package org.ragwortpick.entry.upstream;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.channels.StreamSinkChannel;

/** Writes a request body to a channel without blocking, then shuts down writes. */
final class RequestBodyWriter {

  private final ByteBuffer body;
  private final Consumer<IOException> onFailure;

  /**
   * Creates a writer.
   *
   * @param body body to write
   * @param onFailure receiver of a write failure
   */
  RequestBodyWriter(ByteBuffer body, Consumer<IOException> onFailure) {
    this.body = body;
    this.onFailure = onFailure;
  }

  /**
   * Starts to write. Must run on the I/O thread of the channel.
   *
   * @param channel channel of the request
   */
  void start(StreamSinkChannel channel) {
    channel.getWriteSetter().set(this::write);
    write(channel);
  }

  private void write(StreamSinkChannel channel) {
    try {
      while (body.hasRemaining()) {
        if (channel.write(body) == 0) {
          channel.resumeWrites();
          return;
        }
      }
      channel.shutdownWrites();
      if (channel.flush()) {
        channel.suspendWrites();
      } else {
        channel.resumeWrites();
      }
    } catch (IOException e) {
      onFailure.accept(e);
    }
  }
}
