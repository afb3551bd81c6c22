package org.ragwortpick.consensus.storage;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Reads and builds the frames of the records in a log file. A frame consists of marker, payload
 * length, durable offset, CRC-32C of length, durable offset and payload, and the payload.
 *
 * <p>The durable offset is the length of the file that was synced when the record was written. A
 * damaged record that begins below the durable offset of a later record was durable before, so it
 * is not a torn write at the end of the file. Files that do not tell the two apart state offset 0.
 */
public final class RecordFrames {

  /** Size of the frame header before the payload of a record. */
  public static final int HEADER_BYTES = 20;

  private static final int MARKER = 0x5250_4C31;
  private static final int LENGTH_OFFSET = 4;
  private static final int DURABLE_OFFSET = 8;
  private static final int CRC_OFFSET = 16;

  private RecordFrames() {}

  /**
   * Builds the frame header of a payload.
   *
   * @param payload encoded record
   * @param durableOffset length of the synced part of the file
   * @return the header
   */
  public static ByteBuffer header(byte[] payload, long durableOffset) {
    ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
    header.putInt(MARKER).putInt(payload.length).putLong(durableOffset);
    header.putInt(crc(header.array(), 0, payload, 0, payload.length)).flip();
    return header;
  }

  /**
   * Reads the frame at an offset.
   *
   * @param file content of the file
   * @param offset offset in the file
   * @return the frame; empty if there is no intact record at the offset
   */
  public static Optional<Frame> read(byte[] file, int offset) {
    if (offset < 0 || file.length - offset < HEADER_BYTES) {
      return Optional.empty();
    }
    ByteBuffer buffer = ByteBuffer.wrap(file);
    int length = buffer.getInt(offset + LENGTH_OFFSET);
    int payloadOffset = offset + HEADER_BYTES;
    if (buffer.getInt(offset) != MARKER
        || length < 0
        || length > file.length - payloadOffset
        || buffer.getInt(offset + CRC_OFFSET) != crc(file, offset, file, payloadOffset, length)) {
      return Optional.empty();
    }
    return Optional.of(new Frame(payloadOffset, length, buffer.getLong(offset + DURABLE_OFFSET)));
  }

  /**
   * Returns whether the durable offset of a later intact record shows that an offset was synced.
   *
   * @param file content of the file
   * @param offset offset of a damaged record
   * @return whether the damage is in durable data
   */
  static boolean wasDurable(byte[] file, int offset) {
    for (int next = offset + 1; next <= file.length - HEADER_BYTES; next++) {
      boolean mayBeRecord = file[next] == (byte) (MARKER >>> 24);
      if (mayBeRecord && read(file, next).filter(f -> f.durableOffset() > offset).isPresent()) {
        return true;
      }
    }
    return false;
  }

  private static int crc(byte[] header, int headerOffset, byte[] payload, int from, int length) {
    CRC32C crc = new CRC32C();
    crc.update(header, headerOffset + LENGTH_OFFSET, CRC_OFFSET - LENGTH_OFFSET);
    crc.update(payload, from, length);
    return (int) crc.getValue();
  }

  /**
   * Position of a record in a file.
   *
   * @param payloadOffset offset of the payload
   * @param payloadLength length of the payload
   * @param durableOffset length of the file that was synced when the record was written
   */
  public record Frame(int payloadOffset, int payloadLength, long durableOffset) {

    /**
     * Returns the offset of the first byte after the record.
     *
     * @return offset
     */
    public int endOffset() {
      return payloadOffset + payloadLength;
    }
  }
}
