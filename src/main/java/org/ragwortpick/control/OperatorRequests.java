package org.ragwortpick.control;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.ragwortpick.proto.AnswerMessage;
import org.ragwortpick.proto.RequestMessage;

/** Answers to recent operator requests by request id, so that a resend gets the first answer. */
final class OperatorRequests {

  /** Maximum number of stored answers; about five days at 2,100 changes a day. */
  static final int MAX_REQUESTS = 10_000;

  /** Maximum total size of the stored answers in bytes; findings may be long. */
  static final long MAX_BYTES = 4L * 1024 * 1024;

  private final Map<String, RequestMessage> requests = new LinkedHashMap<>();
  private long storedBytes;

  /**
   * Finds the answer to a request.
   *
   * @param requestId identity of the request
   * @return the request and its answer, or empty if no answer is stored
   */
  Optional<RequestMessage> find(String requestId) {
    return Optional.ofNullable(requests.get(requestId));
  }

  /**
   * Stores the first answer to a request and drops the oldest stored answers beyond the limits.
   *
   * @param request the request and its answer
   * @throws IllegalStateException if an answer is already stored under the request id
   */
  void add(RequestMessage request) {
    if (requests.putIfAbsent(request.getRequestId(), request) != null) {
      throw new IllegalStateException(
          "operator request " + request.getRequestId() + " already has a stored answer");
    }
    storedBytes += request.getSerializedSize();
    while (requests.size() > MAX_REQUESTS || storedBytes > MAX_BYTES && requests.size() > 1) {
      RequestMessage oldest = requests.remove(requests.keySet().iterator().next());
      storedBytes -= oldest.getSerializedSize();
    }
  }

  /**
   * Lists the requests.
   *
   * @return the requests, oldest first
   */
  Collection<RequestMessage> entries() {
    return requests.values();
  }

  /**
   * Builds the entry for {@link #add}.
   *
   * @param requestId identity of the request
   * @param digest digest of the request
   * @param answer its answer
   * @return the entry
   */
  static RequestMessage entry(String requestId, String digest, AnswerMessage answer) {
    return RequestMessage.newBuilder()
        .setRequestId(requestId)
        .setRequestDigest(digest)
        .setAnswer(answer)
        .build();
  }
}
