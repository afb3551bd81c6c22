package org.ragwortpick.standin;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Finds the marker of a request. Callers put {@code "marker"} into their input and stand-ins copy
 * it into their output, so that the caller can check that a response belongs to its request.
 */
public final class RequestMarker {

  private static final String MARKER_KEY = "marker";

  /**
   * Input of a stage after an engine: text that begins with the marker, see {@link TokenStream}.
   */
  private static final String INPUT_KEY = "input";

  private RequestMarker() {}

  /**
   * Finds the marker at any depth of a body.
   *
   * @param body JSON body of a request or a response
   * @return the marker, or the empty string if there is none
   */
  public static String find(JsonNode body) {
    JsonNode found = body.findValue(MARKER_KEY);
    if (found != null) {
      return found.asText();
    }
    JsonNode input = body.path(INPUT_KEY);
    return input.isTextual() ? input.asText().split("/", 2)[0] : "";
  }
}
