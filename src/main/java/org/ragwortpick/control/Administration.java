package org.ragwortpick.control;

import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;
import org.ragwortpick.routing.RoutingConfiguration;

/**
 * Requests of operators. A request that is sent again under its request id gets the first answer.
 */
public interface Administration {

  /**
   * Changes the inventory, the rules or both.
   *
   * @param request the proposal
   * @param timeoutMs time to wait in milliseconds
   * @return the revision, or the reason for a refusal
   */
  CompletionStage<Either<AdministrationError, AcceptedChange>> propose(
      ProposeRequest request, long timeoutMs);

  /**
   * Replaces all routes. A configuration whose number is not higher than that of the current one is
   * acknowledged and changes nothing, so that a request may be sent again without a request id.
   *
   * @param routing the routes under a number
   * @param timeoutMs time to wait in milliseconds
   * @return the revision, or the reason for a refusal
   */
  CompletionStage<Either<AdministrationError, AcceptedChange>> replaceRouting(
      RoutingConfiguration routing, long timeoutMs);

  /**
   * Takes a data centre out of service.
   *
   * @param request the data centre
   * @param timeoutMs time to wait in milliseconds
   * @return the state PREPARING or OUT and what will not fit, or the reason for a refusal
   */
  CompletionStage<Either<AdministrationError, AcceptedChange>> takeOut(
      TakeOutRequest request, long timeoutMs);

  /**
   * Returns a data centre to service.
   *
   * @param request the data centre
   * @param timeoutMs time to wait in milliseconds
   * @return the state RETURNING or IN, or the reason for a refusal
   */
  CompletionStage<Either<AdministrationError, AcceptedChange>> returnToService(
      ReturnRequest request, long timeoutMs);

  /**
   * Reads the current configuration through the leader.
   *
   * @param timeoutMs time to wait in milliseconds
   * @return the configuration, or the reason for which it cannot be read
   */
  CompletionStage<Either<AdministrationError, ConfigurationVersion>> read(long timeoutMs);
}
