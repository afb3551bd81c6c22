package org.ragwortpick.control;

import java.util.Optional;
import org.jboss.logging.Logger;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.proto.AnswerKind;
import org.ragwortpick.proto.AnswerMessage;
import org.ragwortpick.proto.ChangeCommand;
import org.ragwortpick.routing.RoutingConfiguration;

/** Change that replaces all routes; the configuration with the highest number wins. */
final class RoutingChange {

  private static final Logger LOG = Logger.getLogger(RoutingChange.class);

  private RoutingChange() {}

  /**
   * Computes the change. A number that is not higher than the current one is acknowledged and
   * changes nothing.
   *
   * @param routing valid routes and their configuration number
   * @param base current version
   * @return the change with its answer
   */
  static ChangeCommand.Builder compute(RoutingConfiguration routing, ConfigurationVersion base) {
    ChangeCommand.Builder change = ChangeCommand.newBuilder();
    Configuration current = base.configuration();
    boolean isHigher =
        current.routing().filter(installed -> installed.number() >= routing.number()).isEmpty();
    if (isHigher) {
      LeaderAdministration.putDelta(
          change,
          base,
          new Configuration(
              base.revision() + 1,
              current.inventory(),
              current.rules(),
              current.orderRevisions(),
              Optional.of(routing),
              current.rollouts()));
    }
    DecisionLine.of("routing change")
        .with("number", routing.number())
        .with("installedNumber", current.routing().map(RoutingConfiguration::number).orElse(null))
        .with("baseRevision", base.revision())
        .with("changes", isHigher)
        .info(LOG);
    return change.setAnswer(AnswerMessage.newBuilder().setKind(AnswerKind.ANSWER_KIND_ACCEPTED));
  }
}
