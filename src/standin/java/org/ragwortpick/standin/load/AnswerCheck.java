package org.ragwortpick.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import org.ragwortpick.standin.RequestMarker;

/** Checks that an answer of a pipeline is whole and belongs to its request. */
final class AnswerCheck {

  private AnswerCheck() {}

  /**
   * Checks an answer. The stand-in engines put the marker of the request and the offset into each
   * token; the other stand-ins copy the marker.
   *
   * @param body the answer
   * @param marker marker of the request
   * @param maxTokens number of tokens of a whole answer
   * @return true if the answer holds all tokens once and in order, or the marker
   */
  static boolean isWhole(JsonNode body, String marker, int maxTokens) {
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
