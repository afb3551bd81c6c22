package org.ragwortpick.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import org.ragwortpick.standin.RequestMarker;

/** Checks that the response of a pipeline is complete and belongs to its request. */
final class ResponseCheck {

  private ResponseCheck() {}

  /**
   * Checks a response. The stand-in engines put the marker of the request and the offset into each
   * token; the other stand-ins copy the marker.
   *
   * @param body body of the response
   * @param marker marker of the request
   * @param maxTokens number of tokens of a complete response
   * @return true if the output has all tokens once and in order, or has the marker if not generated
   */
  static boolean isComplete(JsonNode body, String marker, int maxTokens) {
    JsonNode output = body.path("output");
    if (!output.isTextual()) {
      return marker.equals(RequestMarker.find(output));
    }
    StringBuilder expected = new StringBuilder();
    for (int offset = 0; offset < maxTokens; offset++) {
      expected.append(marker).append('/').append(offset).append(' ');
    }
    return output.asText().contentEquals(expected);
  }
}
