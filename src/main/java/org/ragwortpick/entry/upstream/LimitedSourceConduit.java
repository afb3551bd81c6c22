package org.ragwortpick.entry.upstream;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/** Source of a connection whose reads fail when the limit of received bytes is exceeded. */
final class LimitedSourceConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {

  private final ReceiveLimit limit;

  /**
   * Creates a source.
   *
   * @param next source to read from
   * @param limit limit of the connection
   */
  LimitedSourceConduit(StreamSourceConduit next, ReceiveLimit limit) {
    super(next);
    this.limit = limit;
  }

  @Override
  public int read(ByteBuffer destination) throws IOException {
    int count = next.read(destination);
    limit.record(count);
    return count;
  }

  @Override
  public long read(ByteBuffer[] destinations, int offset, int length) throws IOException {
    long count = next.read(destinations, offset, length);
    limit.record(count);
    return count;
  }

  @Override
  public long transferTo(long position, long count, FileChannel target) throws IOException {
    long transferred = next.transferTo(position, count, target);
    limit.record(transferred);
    return transferred;
  }

  @Override
  public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target)
      throws IOException {
    long transferred = next.transferTo(count, throughBuffer, target);
    limit.record(transferred);
    return transferred;
  }
}
