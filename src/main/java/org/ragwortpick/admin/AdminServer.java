package org.ragwortpick.admin;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.RoutingHandler;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.Json;
import org.ragwortpick.control.Administration;

/** HTTP server for operators, health checks and metrics. */
public final class AdminServer implements AutoCloseable {

  private static final int IO_THREADS = 1;
  private static final int WORKER_THREADS = 4;

  private final Undertow server;

  /**
   * Creates a server; {@link #start()} makes it listen.
   *
   * @param address address to listen on
   * @param administration forwards operator requests to the leader
   * @param status state of the VM
   * @param registry metrics of the process
   * @param stop action that starts a graceful stop of the VM
   */
  public AdminServer(
      HostPort address,
      Administration administration,
      VmStatus status,
      PrometheusRegistry registry,
      Runnable stop) {
    ConfigurationEndpoint configuration = new ConfigurationEndpoint(administration, status);
    DataCentreEndpoint dataCentres = new DataCentreEndpoint(administration);
    HealthEndpoint health = new HealthEndpoint(status);
    RoutingHandler routes =
        new RoutingHandler()
            .get("/health/live", health::live)
            .get("/health/ready", health::ready)
            .get("/metrics", new MetricsEndpoint(registry, status))
            .get("/admin/v1/state", exchange -> JsonExchange.send(exchange, 200, status.describe()))
            .get("/admin/v1/configuration", configuration::read)
            .post("/admin/v1/configuration", configuration::propose)
            .post("/admin/v1/data-centres/{dataCentre}/take-out", dataCentres::takeOut)
            .post("/admin/v1/data-centres/{dataCentre}/return", dataCentres::returnToService)
            .post("/admin/v1/vm/stop", stopHandler(stop));
    routes.setFallbackHandler(
        exchange ->
            JsonExchange.sendError(exchange, AdminErrors.pathNotFound(exchange.getRequestPath())));
    this.server =
        Undertow.builder()
            .addHttpListener(address.port(), address.host())
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(WORKER_THREADS)
            .setHandler(routes)
            .build();
  }

  private static HttpHandler stopHandler(Runnable stop) {
    return exchange -> {
      stop.run();
      JsonExchange.send(exchange, 202, Json.MESSAGES.createObjectNode().put("state", "LEAVING"));
    };
  }

  /** Starts listening for connections. */
  public void start() {
    server.start();
  }

  @Override
  public void close() {
    server.stop();
  }
}
