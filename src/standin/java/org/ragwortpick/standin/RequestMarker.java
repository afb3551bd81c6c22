package org.ragwortpick.standin;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Finds the marker of a request. Callers put {@code "marker"} into their input; stand-ins copy it
 * into their output, so that every stage and the caller can tell whose answer it is.
 */
final class RequestMarker {

  private static final String KEY = "marker";

  private RequestMarker() {}

  /**
   * Finds the marker anywhere in a body.
   *
   * @param body the body
   * @return the marker; empty if there is none
   */
  static String find(JsonNode body) {
    JsonNode found = body.findValue(KEY);
    return found == null ? "" : found.asText();
  }
}
