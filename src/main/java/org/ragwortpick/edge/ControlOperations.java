package org.ragwortpick.edge;

import io.undertow.server.HttpServerExchange;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import org.ragwortpick.config.Rollout;
import org.ragwortpick.control.AcceptedChange;
import org.ragwortpick.control.AdministrationError;
import org.ragwortpick.routing.RoutingConfiguration;
import org.ragwortpick.sync.Upstream;

/** Operations that a control VM offers to operators and upstreams. */
public interface ControlOperations {

  /**
   * Replaces all routes. Has no effect if the number of the routes is not higher than the current
   * one.
   *
   * @param routing the new routes
   * @return the new revision, or the reason for a refusal
   */
  CompletionStage<Either<AdministrationError, AcceptedChange>> replaceRouting(
      RoutingConfiguration routing);

  /**
   * Reads the current routes, confirmed by a quorum during the call.
   *
   * @return the routes, empty if none have been accepted yet, or the reason for which they could
   *     not be read
   */
  CompletionStage<Either<AdministrationError, Optional<RoutingConfiguration>>> readRouting();

  /**
   * Tells whether a request that is being read now was certainly sent a short time ago, so that its
   * operator still waits for the response.
   *
   * @param exchange exchange of the request
   * @return false if the request may be old
   */
  boolean isRecent(HttpServerExchange exchange);

  /**
   * Returns the revision of the configuration that this VM knows. An order that is based on it is
   * refused if a later order for its data centre was accepted.
   *
   * @return the revision; lower than the current one if this VM lags
   */
  long knownRevision();

  /**
   * Reads the current revision of the configuration, confirmed by a quorum during the call.
   *
   * @return the revision, or the reason for which it could not be read
   */
  CompletionStage<Either<AdministrationError, Long>> readRevision();

  /**
   * Takes a data centre out: its upstreams receive no new work.
   *
   * @param dataCentre name of the data centre
   * @param baseRevision revision that was known when the operator still waited for the order
   * @return the new revision, or the reason for a refusal
   */
  CompletionStage<Either<AdministrationError, AcceptedChange>> takeOut(
      String dataCentre, long baseRevision);

  /**
   * Returns a data centre to service: its upstreams may receive new work again.
   *
   * @param dataCentre name of the data centre
   * @param baseRevision revision that was known when the operator still waited for the order
   * @return the new revision, or the reason for a refusal
   */
  CompletionStage<Either<AdministrationError, AcceptedChange>> returnToService(
      String dataCentre, long baseRevision);

  /**
   * Starts to move the traffic of a service to another version. An order that was accepted before
   * is acknowledged again and changes nothing.
   *
   * @param service name of the service
   * @param to version that the new upstreams announce
   * @param durationMs time in milliseconds within which the move is to be completed
   * @param baseRevision revision that was known when the operator still waited for the order; 0 if
   *     none is
   * @return the new revision, or the reason for a refusal
   */
  CompletionStage<Either<AdministrationError, AcceptedChange>> startRollout(
      String service, String to, long durationMs, long baseRevision);

  /**
   * Reads the last rollout of a service, confirmed by a quorum during the call.
   *
   * @param service name of the service
   * @return the rollout, empty if none was ordered, or the reason for which it could not be read
   */
  CompletionStage<Either<AdministrationError, Optional<Rollout>>> readRollout(String service);

  /**
   * Accepts the announcement of an upstream.
   *
   * @param upstream record from the announcement
   */
  void announce(Upstream upstream);

  /**
   * Accepts the leave notice of an upstream, which receives no new work from then on.
   *
   * @param upstreamId id of the upstream
   * @param incarnation incarnation that leaves; empty if the notice does not name it
   */
  void leave(String upstreamId, OptionalLong incarnation);

  /**
   * Returns the limit of the body of a request.
   *
   * @return size in bytes
   */
  int maxBodyBytes();
}
