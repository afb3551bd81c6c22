package org.ragwortpick.origin;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragwortpick.proto.FindOriginReply;
import org.ragwortpick.proto.VersionOrigins;

/** Translates records and answers to and from their messages. */
final class OriginCodec {

  private static final long MS_PER_SECOND = 1_000;

  private OriginCodec() {}

  /**
   * Encodes records, grouped by version.
   *
   * @param records the records
   * @return one message for each version
   */
  static List<VersionOrigins> encode(List<OriginRecord> records) {
    Map<String, List<OriginRecord>> byVersion = new LinkedHashMap<>();
    for (OriginRecord next : records) {
      byVersion.computeIfAbsent(next.version(), version -> new ArrayList<>()).add(next);
    }
    return byVersion.entrySet().stream()
        .map(group -> encode(group.getKey(), group.getValue()))
        .toList();
  }

  private static VersionOrigins encode(String version, List<OriginRecord> records) {
    VersionOrigins.Builder message = VersionOrigins.newBuilder().setVersion(version);
    ByteBuffer keys = ByteBuffer.allocate(records.size() * OriginKey.BYTES);
    for (OriginRecord next : records) {
      next.key().write(keys);
      message.addLifetimesS((int) ((next.lifetimeMs() + MS_PER_SECOND - 1) / MS_PER_SECOND));
    }
    return message.setKeys(UnsafeByteOperations.unsafeWrap(keys.flip())).build();
  }

  /**
   * Decodes records. A message with keys and lifetimes that do not match is ignored.
   *
   * @param messages messages of the versions
   * @return the records
   */
  static List<OriginRecord> decode(List<VersionOrigins> messages) {
    List<OriginRecord> records = new ArrayList<>();
    for (VersionOrigins message : messages) {
      int count = message.getLifetimesSCount();
      if (message.getKeys().size() == count * OriginKey.BYTES) {
        ByteBuffer keys = message.getKeys().asReadOnlyByteBuffer();
        for (int i = 0; i < count; i++) {
          long lifetimeMs = Integer.toUnsignedLong(message.getLifetimesS(i)) * MS_PER_SECOND;
          records.add(new OriginRecord(OriginKey.read(keys), message.getVersion(), lifetimeMs));
        }
      }
    }
    return records;
  }

  /**
   * Encodes a key.
   *
   * @param key the key
   * @return its bytes
   */
  static ByteString encode(OriginKey key) {
    ByteBuffer bytes = ByteBuffer.allocate(OriginKey.BYTES);
    key.write(bytes);
    return UnsafeByteOperations.unsafeWrap(bytes.flip());
  }

  /**
   * Decodes a key.
   *
   * @param bytes encoded key
   * @return the key; empty if the bytes are not a key
   */
  static Optional<OriginKey> decodeKey(ByteString bytes) {
    return bytes.size() == OriginKey.BYTES
        ? Optional.of(OriginKey.read(bytes.asReadOnlyByteBuffer()))
        : Optional.empty();
  }

  /**
   * Encodes an answer.
   *
   * @param answer the answer
   * @return the reply
   */
  static FindOriginReply encode(OriginAnswer answer) {
    FindOriginReply.Builder reply = FindOriginReply.newBuilder();
    if (answer instanceof OriginAnswer.Known known) {
      reply.setAnswer(FindOriginReply.Answer.ANSWER_KNOWN).setVersion(known.version());
    } else if (answer instanceof OriginAnswer.Contradictory) {
      reply.setAnswer(FindOriginReply.Answer.ANSWER_CONTRADICTORY);
    }
    return reply.build();
  }

  /**
   * Decodes a reply. An answer of a later version of this system counts as contradictory, because
   * it may not be used.
   *
   * @param reply the reply
   * @return the answer
   */
  static OriginAnswer decode(FindOriginReply reply) {
    return switch (reply.getAnswer()) {
      case ANSWER_UNKNOWN -> new OriginAnswer.Unknown();
      case ANSWER_KNOWN -> new OriginAnswer.Known(reply.getVersion());
      default -> new OriginAnswer.Contradictory();
    };
  }
}
