package org.ragwortpick.policy.quarantine;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * What a request contains that may end upstreams: parts of its prompt, and the request as a whole.
 *
 * @param parts ids of the prompt parts
 * @param fingerprint supplies the fingerprint of the whole request, which is asked for only where
 *     it may matter; empty if the request as a whole is not meant
 */
public record RequestContent(List<String> parts, Optional<Supplier<String>> fingerprint) {

  /** Tells ids of whole requests from those of prompt parts, which are hexadecimal. */
  private static final String REQUEST_PREFIX = "request:";

  /** Copies the parts. */
  public RequestContent {
    parts = List.copyOf(parts);
  }

  /**
   * Creates the content of a request.
   *
   * @param parts ids of the prompt parts that it shares with others
   * @param fingerprint supplies its fingerprint
   * @return the content
   */
  public static RequestContent of(List<String> parts, Supplier<String> fingerprint) {
    return new RequestContent(parts, Optional.of(fingerprint));
  }

  /**
   * Creates content that consists of prompt parts only.
   *
   * @param parts ids of the parts
   * @return the content
   */
  public static RequestContent ofParts(List<String> parts) {
    return new RequestContent(parts, Optional.empty());
  }

  /**
   * Leaves the whole request out.
   *
   * @return the parts alone
   */
  public RequestContent partsOnly() {
    return ofParts(parts);
  }

  /**
   * Leaves the parts out.
   *
   * @return the whole request alone
   */
  public RequestContent wholeOnly() {
    return new RequestContent(List.of(), fingerprint);
  }

  /**
   * Returns the id of the whole request.
   *
   * @return the id; empty if the whole request is not meant
   */
  public Optional<String> requestId() {
    return fingerprint.map(value -> REQUEST_PREFIX + value.get());
  }

  /**
   * Returns whether an id is that of a whole request.
   *
   * @param id id of a content
   * @return false for a prompt part
   */
  public static boolean isRequest(String id) {
    return id.startsWith(REQUEST_PREFIX);
  }

  /**
   * Returns whether the request contains something.
   *
   * @param id id of a prompt part or of a whole request
   * @return whether it is a part of its prompt or the request itself
   */
  boolean contains(String id) {
    return isRequest(id) ? requestId().filter(id::equals).isPresent() : parts.contains(id);
  }
}
