package org.ragwortpick.control;

import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;
import org.ragwortpick.routing.RoutingConfiguration;

/** Operator requests. A request that is resent with the same request id gets the first result. */
public interface Administration {

  /**
   * Changes the inventory, the rules or both.
   *
   * @param request the proposal
   * @param timeoutMs timeout in milliseconds
   * @return the revision, or the reason why the request was refused
   */
  CompletionStage<Either<AdministrationError, AcceptedChange>> propose(
      ProposeRequest request, long timeoutMs);

  /**
   * Replaces all routes. A configuration whose number is not higher than that of the current one is
   * acknowledged and changes nothing, so that a request can be resent without a request id.
   *
   * @param routing the routes and their configuration number
   * @param timeoutMs timeout in milliseconds
   * @return the revision, or the reason why the request was refused
   */
  CompletionStage<Either<AdministrationError, AcceptedChange>> replaceRouting(
      RoutingConfiguration routing, long timeoutMs);

  /**
   * Takes a data centre out of service.
   *
   * @param request the data centre
   * @param timeoutMs timeout in milliseconds
   * @return the state PREPARING or OUT and the replicas that do not fit, or the reason why the
   *     request was refused
   */
  CompletionStage<Either<AdministrationError, AcceptedChange>> takeOut(
      TakeOutRequest request, long timeoutMs);

  /**
   * Returns a data centre to service.
   *
   * @param request the data centre
   * @param timeoutMs timeout in milliseconds
   * @return the state RETURNING or IN, or the reason why the request was refused
   */
  CompletionStage<Either<AdministrationError, AcceptedChange>> returnToService(
      ReturnRequest request, long timeoutMs);

  /**
   * Starts to move the traffic of a service to another version. An order that was accepted before
   * is acknowledged again and changes nothing.
   *
   * @param request the order
   * @param timeoutMs timeout in milliseconds
   * @return the revision, or the reason why the order was refused
   */
  CompletionStage<Either<AdministrationError, AcceptedChange>> startRollout(
      StartRolloutRequest request, long timeoutMs);

  /**
   * Reads the current configuration through the leader.
   *
   * @param timeoutMs timeout in milliseconds
   * @return the configuration, or the reason why it cannot be read
   */
  CompletionStage<Either<AdministrationError, ConfigurationVersion>> read(long timeoutMs);
}
