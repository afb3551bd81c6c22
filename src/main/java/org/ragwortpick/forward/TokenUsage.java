package org.ragwortpick.forward;

import java.util.OptionalLong;
import java.util.regex.Pattern;

/** Header by which a request states its tokens: those of its prompt, and its most output tokens. */
final class TokenUsage {

  private static final Pattern TOKENS = Pattern.compile("\\d{1,12}\\s*,\\s*\\d{1,12}");

  private TokenUsage() {}

  /**
   * Parses the tokens of a request.
   *
   * @param text two comma-separated numbers
   * @return their sum; empty if the text is not two numbers of 0 or more
   */
  static OptionalLong parse(String text) {
    if (!TOKENS.matcher(text.trim()).matches()) {
      return OptionalLong.empty();
    }
    long sum = 0;
    for (String part : text.split(",")) {
      sum += Long.parseLong(part.trim());
    }
    return OptionalLong.of(sum);
  }
}
