package org.ragwortpick.consensus.raft;

import java.io.ByteArrayOutputStream;

/** Snapshot that a follower receives in parts. */
final class SnapshotAssembly {

  private final RaftSnapshot header;
  private final long totalBytes;
  private final ByteArrayOutputStream data = new ByteArrayOutputStream();

  /**
   * Creates an assembly without parts.
   *
   * @param header index, term and membership
   * @param totalBytes size of the encoded state
   */
  SnapshotAssembly(RaftSnapshot header, long totalBytes) {
    this.header = header;
    this.totalBytes = totalBytes;
  }

  /**
   * Returns whether a part belongs to this snapshot.
   *
   * @param chunk part of a snapshot
   * @return whether it does
   */
  boolean isFor(Message.SnapshotChunk chunk) {
    return header.index() == chunk.snapshot().index()
        && header.term() == chunk.snapshot().term()
        && totalBytes == chunk.totalBytes();
  }

  /**
   * Adds a part if it is the next one. Returns the position of the next missing byte.
   *
   * @param chunk part of a snapshot
   * @return offset of the next missing byte
   */
  long add(Message.SnapshotChunk chunk) {
    if (chunk.offset() == data.size()) {
      data.writeBytes(chunk.data());
    }
    return data.size();
  }

  /**
   * Returns whether all parts were received.
   *
   * @return whether they were
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
