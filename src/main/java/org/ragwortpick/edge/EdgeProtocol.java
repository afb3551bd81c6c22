package org.ragwortpick.edge;

import io.undertow.server.HttpHandler;
import java.util.function.BooleanSupplier;
import org.ragwortpick.batch.BatchProtocol;
import org.ragwortpick.forward.RoutingHeaders;

/** Manner of speaking of one deployment. */
public interface EdgeProtocol {

  /**
   * Returns the name by which settings choose the protocol.
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
   * Returns the encoding of calls to upstreams of stage services.
   *
   * @return the encoding
   */
  BatchProtocol batches();

  /**
   * Serves operators and the announcements of upstreams.
   *
   * @param calls what they may ask for
   * @return handler of the control address
   */
  HttpHandler control(ControlCalls calls);

  /**
   * Serves callers that ask for addresses.
   *
   * @param answers the address answers
   * @return handler of the directory address
   */
  HttpHandler directory(DirectoryAnswers answers);

  /**
   * Serves the readiness check.
   *
   * @param ready whether the VM takes new callers
   * @return handler of the readiness address
   */
  HttpHandler readiness(BooleanSupplier ready);
}
