package org.ragwortpick.consensus.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/** File that is open for appending. */
public interface DiskFile extends AutoCloseable {

  /**
   * Appends bytes.
   *
   * @param bytes bytes to append; all remaining bytes are written
   * @throws IOException if not all bytes were written, for example on a full disk
   */
  void append(ByteBuffer bytes) throws IOException;

  /**
   * Makes all appended bytes durable.
   *
   * @throws IOException if the bytes may not be durable
   */
  void sync() throws IOException;

  @Override
  void close() throws IOException;
}
