package org.ragwortpick.sync.rpc;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.CRC32;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.ragwortpick.proto.ConfigurationMessage;
import org.ragwortpick.proto.TransferIdentity;
import org.ragwortpick.sync.ConfigurationDelta;

/**
 * Changes of a configuration as compressed bytes, which are sent in parts.
 *
 * @param identity identity, by which a receiver asks for the parts
 * @param bytes compressed encoding of the changes
 */
record CompressedDelta(TransferIdentity identity, ByteString bytes) {

  /** Maximum size, compressed or not: that of a message which holds a whole configuration. */
  static final int MAX_BYTES = 64 * 1_024 * 1_024;

  /**
   * Compresses changes. All sources with the same documents compute the same bytes.
   *
   * @param delta the changes
   * @return the compressed changes
   */
  static CompressedDelta of(ConfigurationDelta delta) {
    ByteString.Output bytes = ByteString.newOutput();
    try (DeflaterOutputStream compressed = new DeflaterOutputStream(bytes)) {
      CodedOutputStream output = CodedOutputStream.newInstance(compressed);
      output.useDeterministicSerialization();
      SyncCodec.encode(delta).writeTo(output);
      output.flush();
    } catch (IOException e) {
      throw new UncheckedIOException("changes of the configuration cannot be compressed", e);
    }
    ByteString result = bytes.toByteString();
    return new CompressedDelta(
        TransferIdentity.newBuilder()
            .setFromRevision(delta.snapshot() ? 0 : delta.fromRevision())
            .setRevision(delta.revision())
            .setSnapshot(delta.snapshot())
            .setTotalBytes(result.size())
            .setChecksum(checksum(result))
            .build(),
        result);
  }

  /**
   * Decompresses the changes.
   *
   * @return the changes
   * @throws IllegalArgumentException if the bytes are not those of the identity or become too large
   */
  ConfigurationDelta decompress() {
    if (bytes.size() != identity.getTotalBytes() || checksum(bytes) != identity.getChecksum()) {
      throw new IllegalArgumentException(
          "the parts of configuration revision " + identity.getRevision() + " do not fit together");
    }
    try (InflaterInputStream input = new InflaterInputStream(bytes.newInput())) {
      CodedInputStream limited = CodedInputStream.newInstance(input);
      limited.setSizeLimit(MAX_BYTES);
      return SyncCodec.decode(ConfigurationMessage.parseFrom(limited));
    } catch (IOException e) {
      throw new IllegalArgumentException(
          "configuration revision " + identity.getRevision() + " cannot be decompressed", e);
    }
  }

  private static int checksum(ByteString bytes) {
    CRC32 checksum = new CRC32();
    bytes.asReadOnlyByteBufferList().forEach(checksum::update);
    return (int) checksum.getValue();
  }
}
