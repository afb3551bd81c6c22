package org.ragwortpick.origin;

import java.util.Optional;

/** What a table of records knows about a request. */
sealed interface OriginAnswer {

  /**
   * Returns the version if it is certain.
   *
   * @return the version; empty if it is unknown or contradictory
   */
  default Optional<String> certainVersion() {
    return Optional.empty();
  }

  /** There is no record. */
  record Unknown() implements OriginAnswer {}

  /**
   * There is a record.
   *
   * @param version recorded version
   */
  record Known(String version) implements OriginAnswer {

    @Override
    public Optional<String> certainVersion() {
      return Optional.of(version);
    }
  }

  /** Different versions were recorded, so that none of them may be used. */
  record Contradictory() implements OriginAnswer {}
}
