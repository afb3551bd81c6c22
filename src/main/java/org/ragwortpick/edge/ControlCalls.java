package org.ragwortpick.edge;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.ragwortpick.control.AcceptedChange;
import org.ragwortpick.control.AdministrationError;
import org.ragwortpick.routing.RoutingConfiguration;
import org.ragwortpick.sync.Upstream;

/** What operators and upstreams may ask of a control VM. */
public interface ControlCalls {

  /**
   * Replaces all routes; a number that is not higher than the current one changes nothing.
   *
   * @param routing the routes
   * @return the revision, or the reason for a refusal
   */
  CompletionStage<Either<AdministrationError, AcceptedChange>> replaceRouting(
      RoutingConfiguration routing);

  /**
   * Reads the current routes, confirmed by a quorum during the call.
   *
   * @return the routes, empty if none were accepted yet, or the reason for which they are unknown
   */
  CompletionStage<Either<AdministrationError, Optional<RoutingConfiguration>>> readRouting();

  /**
   * Stops new work at the upstreams of a data centre.
   *
   * @param dataCentre name of the data centre
   * @return the revision, or the reason for a refusal
   */
  CompletionStage<Either<AdministrationError, AcceptedChange>> takeOut(String dataCentre);

  /**
   * Allows new work at the upstreams of a data centre again.
   *
   * @param dataCentre name of the data centre
   * @return the revision, or the reason for a refusal
   */
  CompletionStage<Either<AdministrationError, AcceptedChange>> returnToService(String dataCentre);

  /**
   * Takes the announcement of an upstream.
   *
   * @param upstream the upstream as it describes itself
   */
  void announce(Upstream upstream);

  /**
   * Takes the farewell of an upstream, which gets no new work from then on.
   *
   * @param upstreamId id of the upstream
   */
  void leave(String upstreamId);
}
