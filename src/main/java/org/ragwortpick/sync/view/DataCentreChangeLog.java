package org.ragwortpick.sync.view;

import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.DataCentreState;
import org.ragwortpick.logging.DecisionLine;

/**
 * Logs one line when the data centres change that are out of service in the configuration of the
 * local VM.
 */
final class DataCentreChangeLog {

  private static final Logger LOG = Logger.getLogger(DataCentreChangeLog.class);

  private DataCentreChangeLog() {}

  /**
   * Logs the change, if there is one.
   *
   * @param before configuration that was current
   * @param after configuration that is current now
   * @param confirmationAgeMs age in milliseconds of the confirmation that came with it
   */
  static void onConfiguration(Configuration before, Configuration after, long confirmationAgeMs) {
    SortedSet<String> outBefore = outOfService(before);
    SortedSet<String> out = outOfService(after);
    if (!out.equals(outBefore)) {
      DecisionLine.of("data centres out of service changed")
          .with("revision", after.revision())
          .with("revisionBefore", before.revision())
          .with("out", String.join(",", out))
          .with("outBefore", String.join(",", outBefore))
          .with("confirmationAgeMs", confirmationAgeMs)
          .info(LOG);
    }
  }

  private static SortedSet<String> outOfService(Configuration configuration) {
    return configuration.rules().dataCentres().entrySet().stream()
        .filter(entry -> entry.getValue() == DataCentreState.OUT)
        .map(Map.Entry::getKey)
        .collect(Collectors.toCollection(TreeSet::new));
  }
}
