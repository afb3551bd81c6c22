package org.ragwortpick.sync.rpc;

import org.ragwortpick.proto.SyncResponse;

/** Records that the local VM and one source have exchanged. Not thread-safe. */
final class SourceCursor {

  private long sourceIncarnation;
  private long receivedVersion;
  private long completeReceivedVersion;
  private long acceptedVersion;
  private long completeAcceptedVersion;

  /** Creates the cursor of a source that has not been polled. */
  SourceCursor() {}

  /**
   * Returns the incarnation of the source for which the versions of its table are valid.
   *
   * @return the incarnation; 0 before the first response
   */
  long sourceIncarnation() {
    return sourceIncarnation;
  }

  /**
   * Returns the version up to which the local VM has received the changes of the source's table.
   *
   * @return the version
   */
  long receivedVersion() {
    return receivedVersion;
  }

  /**
   * Returns the received version of the last time at which the local VM had all records.
   *
   * @return the version
   */
  long completeReceivedVersion() {
    return completeReceivedVersion;
  }

  /**
   * Returns the version of the local table up to which the source accepted the offers.
   *
   * @return the version
   */
  long acceptedVersion() {
    return acceptedVersion;
  }

  /**
   * Returns the accepted version of the last time at which the source had all offers.
   *
   * @return the version
   */
  long completeAcceptedVersion() {
    return completeAcceptedVersion;
  }

  /**
   * Records what the source accepted. Another incarnation of it is offered everything again.
   *
   * @param poll the poll
   * @param response its response
   */
  void recordOffers(SyncExchange.Poll poll, SyncResponse response) {
    boolean isRestarted = sourceIncarnation != response.getIncarnation();
    if (isRestarted) {
      sourceIncarnation = response.getIncarnation();
      receivedVersion = 0;
      completeReceivedVersion = 0;
    }
    if (isRestarted || response.getOfferAll()) {
      acceptedVersion = 0;
      completeAcceptedVersion = 0;
      return;
    }
    acceptedVersion = poll.offeredVersion();
    if (poll.offersComplete()) {
      completeAcceptedVersion = poll.offeredVersion();
    }
  }

  /**
   * Records what the local VM received.
   *
   * @param response the response
   * @param merged whether all of its records could be merged; otherwise all are requested again
   */
  void recordReceived(SyncResponse response, boolean merged) {
    receivedVersion = merged ? response.getCursor() : 0;
    if (!merged || !response.getRecordsIncomplete()) {
      completeReceivedVersion = receivedVersion;
    }
  }
}
