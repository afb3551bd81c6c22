package org.ragwortpick.consensus.raft;

import java.io.ByteArrayOutputStream;

/** Assembles a snapshot from the chunks that a follower receives. */
final class SnapshotAssembly {

  private final RaftSnapshot header;
  private final long totalBytes;
  private final ByteArrayOutputStream data = new ByteArrayOutputStream();

  /**
   * Creates an assembly without chunks.
   *
   * @param header index, term and membership of the snapshot
   * @param totalBytes size in bytes of the encoded state
   */
  SnapshotAssembly(RaftSnapshot header, long totalBytes) {
    this.header = header;
    this.totalBytes = totalBytes;
  }

  /**
   * Returns whether a chunk belongs to this snapshot.
   *
   * @param chunk the chunk
   * @return whether the index, term and size match
   */
  boolean isFor(Message.SnapshotChunk chunk) {
    return header.index() == chunk.snapshot().index()
        && header.term() == chunk.snapshot().term()
        && totalBytes == chunk.totalBytes();
  }

  /**
   * Adds a chunk if it is the next one. Other chunks are ignored.
   *
   * @param chunk the chunk
   * @return offset of the next missing byte
   */
  long add(Message.SnapshotChunk chunk) {
    if (chunk.offset() == data.size()) {
      data.writeBytes(chunk.data());
    }
    return data.size();
  }

  /**
   * Returns whether all chunks were received.
   *
   * @return whether the snapshot is complete
   */
  boolean isComplete() {
    return data.size() == totalBytes;
  }

  /**
   * Returns the snapshot.
   *
   * @return the complete snapshot
   */
  RaftSnapshot toSnapshot() {
    return new RaftSnapshot(header.index(), header.term(), header.membership(), data.toByteArray());
  }
}
