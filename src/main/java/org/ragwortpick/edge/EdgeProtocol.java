package org.ragwortpick.edge;

import io.undertow.server.HttpHandler;
import java.util.function.BooleanSupplier;
import org.ragwortpick.batch.BatchProtocol;
import org.ragwortpick.forward.RoutingHeaders;

/** Adapter that implements the external protocol of one deployment. */
public interface EdgeProtocol {

  /**
   * Returns the name that selects this protocol in the settings.
   *
   * @return unique name
   */
  String name();

  /**
   * Returns the names of the headers of forwarded requests.
   *
   * @return the names
   */
  RoutingHeaders headers();

  /**
   * Returns the encoding of batch calls to the upstreams of stage services.
   *
   * @return the encoding
   */
  BatchProtocol batches();

  /**
   * Creates the handler for operators and for the announcements of upstreams.
   *
   * @param operations operations that the handler may call
   * @return handler of the control address
   */
  HttpHandler control(ControlOperations operations);

  /**
   * Creates the handler for callers that look up entry VM addresses.
   *
   * @param addressSource source of the addresses
   * @return handler of the directory address
   */
  HttpHandler directory(EntryAddressSource addressSource);

  /**
   * Creates the handler of the readiness check.
   *
   * @param ready tells whether the VM accepts requests of callers
   * @return handler of the readiness address
   */
  HttpHandler readiness(BooleanSupplier ready);
}
