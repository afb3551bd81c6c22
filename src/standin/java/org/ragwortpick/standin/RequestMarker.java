package org.ragwortpick.standin;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Finds the marker of a request. Callers put {@code "marker"} into their input; stand-ins copy it
 * into their output, so that every stage and the caller can tell whose answer it is.
 */
public final class RequestMarker {

  private static final String KEY = "marker";

  /** Generated text begins with the marker, see {@link TokenStream#tokenText}. */
  private static final String INPUT_KEY = "input";

  private RequestMarker() {}

  /**
   * Finds the marker anywhere in a body.
   *
   * @param body the body
   * @return the marker; empty if there is none
   */
  public static String find(JsonNode body) {
    JsonNode found = body.findValue(KEY);
    if (found != null) {
      return found.asText();
    }
    JsonNode input = body.path(INPUT_KEY);
    return input.isTextual() ? input.asText().split("/", 2)[0] : "";
  }
}
