package org.ragwortpick.sync.rpc;

import com.google.protobuf.ByteString;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongFunction;
import org.ragwortpick.proto.ConfigurationPart;
import org.ragwortpick.proto.SyncRequest;
import org.ragwortpick.proto.SyncResponse;
import org.ragwortpick.proto.TransferIdentity;
import org.ragwortpick.proto.TransferPosition;
import org.ragwortpick.sync.ConfigurationDelta;

/**
 * Writes the changes of the configuration into responses, in parts where they are too large for a
 * slow link to carry within the timeout of a poll. Not thread-safe.
 */
final class TransferSource {

  private static final int MAX_STORED_TRANSFERS = 8;
  private static final long MAX_STORED_BYTES = 4 * 1_024 * 1_024;

  /** Compressed changes in order of their last use; receivers ask for them part by part. */
  private final Map<Key, CompressedDelta> stored = new LinkedHashMap<>(16, 0.75f, true);

  private final int maxPartBytes;

  /**
   * Creates a source without stored transfers.
   *
   * @param maxPartBytes maximum size of a configuration or a part of it in one response
   */
  TransferSource(int maxPartBytes) {
    this.maxPartBytes = maxPartBytes;
  }

  /**
   * Writes the changes for a poller.
   *
   * @param request request of the poller
   * @param changesSince returns the changes since a revision
   * @param response response in which the configuration or a part of it is set
   */
  void write(
      SyncRequest request,
      LongFunction<ConfigurationDelta> changesSince,
      SyncResponse.Builder response) {
    ConfigurationDelta delta = changesSince.apply(request.getRevision());
    if (!request.hasTransfer()) {
      response.setConfiguration(SyncCodec.encode(delta));
      return;
    }
    TransferPosition position = request.getTransfer();
    CompressedDelta continued = stored.get(Key.of(position.getIdentity()));
    if (continued != null && continued.identity().equals(position.getIdentity())) {
      response.setPart(part(continued, position.getOffset(), delta.revision()));
      return;
    }
    CompressedDelta compressed = stored.get(Key.of(delta));
    if (compressed == null) {
      if (fitsIntoResponse(delta)) {
        response.setConfiguration(SyncCodec.encode(delta));
        return;
      }
      long minRevision = Math.max(request.getRevision(), position.getIdentity().getRevision());
      compressed = storedUpToRecent(delta, minRevision, changesSince);
    }
    if (compressed == null) {
      compressed = CompressedDelta.of(delta);
      store(compressed);
    }
    boolean isSame = compressed.identity().equals(position.getIdentity());
    response.setPart(part(compressed, isSame ? position.getOffset() : 0, delta.revision()));
  }

  /**
   * Returns stored changes from the same start, after which the poller needs only changes that fit
   * into one response. Without them each poller would begin another transfer while the revision
   * moves on, and the transfers in progress would displace each other.
   */
  private CompressedDelta storedUpToRecent(
      ConfigurationDelta delta, long minRevision, LongFunction<ConfigurationDelta> changesSince) {
    return stored.keySet().stream()
        .filter(key -> key.hasStartOf(delta) && key.revision() > minRevision)
        .max(Comparator.comparingLong(Key::revision))
        .filter(key -> fitsIntoResponse(changesSince.apply(key.revision())))
        .map(stored::get)
        .orElse(null);
  }

  private boolean fitsIntoResponse(ConfigurationDelta delta) {
    // Avoids the encoding of changes whose texts alone are too large.
    long textLength = delta.puts().values().stream().mapToLong(String::length).sum();
    return textLength <= maxPartBytes
        && SyncCodec.encode(delta).getSerializedSize() <= maxPartBytes;
  }

  private void store(CompressedDelta compressed) {
    stored.put(Key.of(compressed.identity()), compressed);
    long bytes = stored.values().stream().mapToLong(delta -> delta.bytes().size()).sum();
    Iterator<CompressedDelta> oldest = stored.values().iterator();
    while (stored.size() > MAX_STORED_TRANSFERS
        || (bytes > MAX_STORED_BYTES && stored.size() > 1)) {
      bytes -= oldest.next().bytes().size();
      oldest.remove();
    }
  }

  private ConfigurationPart part(
      CompressedDelta compressed, int requestedOffset, long sourceRevision) {
    ByteString bytes = compressed.bytes();
    boolean isInside = requestedOffset >= 0 && requestedOffset < bytes.size();
    int offset = isInside ? requestedOffset : 0;
    return ConfigurationPart.newBuilder()
        .setIdentity(compressed.identity())
        .setOffset(offset)
        .setData(bytes.substring(offset, Math.min(bytes.size(), offset + maxPartBytes)))
        .setSourceRevision(sourceRevision)
        .build();
  }

  private record Key(long fromRevision, long revision, boolean snapshot) {

    private static Key of(TransferIdentity identity) {
      return new Key(identity.getFromRevision(), identity.getRevision(), identity.getSnapshot());
    }

    private static Key of(ConfigurationDelta delta) {
      return new Key(
          delta.snapshot() ? 0 : delta.fromRevision(), delta.revision(), delta.snapshot());
    }

    private boolean hasStartOf(ConfigurationDelta delta) {
      Key other = of(delta);
      return snapshot == other.snapshot && fromRevision == other.fromRevision;
    }
  }
}
