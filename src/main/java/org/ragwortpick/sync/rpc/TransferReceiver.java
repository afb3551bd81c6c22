package org.ragwortpick.sync.rpc;

import com.google.protobuf.ByteString;
import java.time.Clock;
import org.ragwortpick.proto.ConfigurationPart;
import org.ragwortpick.proto.TransferIdentity;
import org.ragwortpick.proto.TransferPosition;
import org.ragwortpick.sync.SyncTimings;

/** Collects the parts of a configuration over successive polls. Not thread-safe. */
final class TransferReceiver {

  private final Clock clock;
  private TransferIdentity identity = TransferIdentity.getDefaultInstance();
  private ByteString received = ByteString.EMPTY;
  private int parts;
  private long progressAtMs;
  private long confirmedAtMs;

  /**
   * Creates a receiver without a transfer.
   *
   * @param clock monotonic clock
   */
  TransferReceiver(Clock clock) {
    this.clock = clock;
  }

  /**
   * Returns the position to name in a request. A transfer that no longer applies to the local
   * revision, or that no source has continued for a while, is given up.
   *
   * @param localRevision revision of the local view
   * @return the position; empty if no transfer is in progress
   */
  TransferPosition position(long localRevision) {
    boolean applies =
        identity.getRevision() > localRevision
            && (identity.getSnapshot() || identity.getFromRevision() == localRevision);
    if (!applies || clock.millis() - progressAtMs >= SyncTimings.TRANSFER_IDLE_MS) {
      clear();
    }
    return isInProgress()
        ? TransferPosition.newBuilder().setIdentity(identity).setOffset(received.size()).build()
        : TransferPosition.getDefaultInstance();
  }

  /**
   * Tells whether some parts have arrived and others are missing.
   *
   * @return true if a transfer is in progress
   */
  boolean isInProgress() {
    return identity.getTotalBytes() > 0;
  }

  /**
   * Returns the revision that is transferred.
   *
   * @return the revision; 0 if no transfer is in progress
   */
  long revision() {
    return identity.getRevision();
  }

  /**
   * Returns the number of bytes that have arrived.
   *
   * @return number of bytes
   */
  int receivedBytes() {
    return received.size();
  }

  /**
   * Returns the number of bytes of the whole transfer.
   *
   * @return number of bytes; 0 if no transfer is in progress
   */
  int totalBytes() {
    return identity.getTotalBytes();
  }

  /**
   * Returns the number of parts that have arrived.
   *
   * @return number of parts
   */
  int parts() {
    return parts;
  }

  /**
   * Returns the newest time at which the revision that is transferred was confirmed as current.
   *
   * @return local monotonic time in milliseconds; 0 if it was not
   */
  long confirmedAtMs() {
    return confirmedAtMs;
  }

  /**
   * Adds a part. The first part of another transfer replaces the present one, unless that has a
   * newer revision.
   *
   * @param part the part
   * @return true if the transfer advanced
   * @throws IllegalArgumentException if the stated length of the transfer is invalid or exceeded
   */
  boolean add(ConfigurationPart part) {
    int totalBytes = part.getIdentity().getTotalBytes();
    if (totalBytes <= 0
        || totalBytes > CompressedDelta.MAX_BYTES
        || part.getData().size() > totalBytes - part.getOffset()) {
      throw new IllegalArgumentException(
          "part of %d bytes at offset %d of a configuration of %s bytes"
              .formatted(
                  part.getData().size(), part.getOffset(), Integer.toUnsignedString(totalBytes)));
    }
    boolean isSame = part.getIdentity().equals(identity);
    if (!isSame && part.getOffset() == 0 && part.getIdentity().getRevision() >= revision()) {
      clear();
      identity = part.getIdentity();
      isSame = true;
    }
    if (!isSame || part.getOffset() != received.size() || part.getData().isEmpty()) {
      return false;
    }
    received = received.concat(part.getData());
    parts++;
    progressAtMs = clock.millis();
    return true;
  }

  /**
   * Records a confirmation. One of a newer revision says nothing about the one that is transferred;
   * one of an older revision holds for it, because it contains the older one.
   *
   * @param revision revision of the source
   * @param atMs local monotonic time in milliseconds at which that revision was current
   */
  void confirm(long revision, long atMs) {
    if (isInProgress() && revision <= revision()) {
      confirmedAtMs = Math.max(confirmedAtMs, atMs);
    }
  }

  /**
   * Tells whether all parts have arrived.
   *
   * @return true if the changes can be taken
   */
  boolean isComplete() {
    return isInProgress() && received.size() >= identity.getTotalBytes();
  }

  /**
   * Returns what was received and ends the transfer.
   *
   * @return the compressed changes
   */
  CompressedDelta take() {
    CompressedDelta complete = new CompressedDelta(identity, received);
    clear();
    return complete;
  }

  private void clear() {
    identity = TransferIdentity.getDefaultInstance();
    received = ByteString.EMPTY;
    parts = 0;
    confirmedAtMs = 0;
    progressAtMs = clock.millis();
  }
}
