package org.ragwortpick.forward;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.entry.http.BodyReader;
import org.ragwortpick.entry.http.CallerConnection;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.routing.Route;
import org.ragwortpick.routing.RoutedWorkspace;
import org.ragwortpick.routing.RoutingTable;
import org.ragwortpick.routing.WeightedService;

/**
 * Accepts requests of callers: determines route and workspace, reads the body and starts the run.
 */
public final class ForwardHandler implements HttpHandler {

  private static final Logger LOG = Logger.getLogger(ForwardHandler.class);

  private final ForwardDependencies dependencies;
  private final RandomGenerator random;
  private final MissingConfigurationRetry missingConfigurationRetry;
  private final ConfigurationVerdicts verdicts;

  /**
   * Creates the handler.
   *
   * @param dependencies dependencies that all requests share
   * @param random source of random numbers for weighted services
   */
  public ForwardHandler(ForwardDependencies dependencies, RandomGenerator random) {
    this.dependencies = dependencies;
    this.random = random;
    this.missingConfigurationRetry = new MissingConfigurationRetry(dependencies.clock().millis());
    this.verdicts = new ConfigurationVerdicts(dependencies);
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    long arrivedAtMs = dependencies.clock().millis();
    countUntilComplete(exchange);
    if (!dependencies.keepsConnections().getAsBoolean()) {
      exchange.setPersistent(false);
    }
    if (!dependencies.accepting().getAsBoolean()) {
      refuse(exchange, Refusal.STOPPING);
      return;
    }
    Configuration configuration = dependencies.configuration().current();
    Optional<RoutingTable> table = configuration.routingTable();
    if (table.isEmpty()) {
      refuse(
          exchange, Refusal.noConfiguration(missingConfigurationRetry.retryAfterMs(arrivedAtMs)));
      return;
    }
    Optional<Route> route = table.get().match(hostOf(exchange), exchange.getRequestURI());
    if (route.isEmpty()) {
      refuse(exchange, verdicts.confirm(Refusal.NO_ROUTE, configuration.revision()));
      return;
    }
    handle(exchange, configuration, route.get(), arrivedAtMs);
  }

  /** Counts the request from its head until the last byte of its response is written. */
  private void countUntilComplete(HttpServerExchange exchange) {
    dependencies.workCounter().enter();
    exchange.addExchangeCompleteListener(
        (ended, next) -> {
          dependencies.workCounter().exit();
          next.proceed();
        });
  }

  private static String hostOf(HttpServerExchange exchange) {
    String host = exchange.getRequestHeaders().getFirst(Headers.HOST);
    return host == null ? "" : host;
  }

  private Optional<String> keyOf(HttpServerExchange exchange) {
    return Optional.ofNullable(exchange.getRequestHeaders().getFirst(dependencies.headers().key()))
        .map(String::trim);
  }

  private void handle(
      HttpServerExchange exchange, Configuration configuration, Route route, long arrivedAtMs) {
    RoutingTable table = configuration.routingTable().orElseThrow();
    HeaderMap headers = exchange.getRequestHeaders();
    Optional<RoutedWorkspace> workspace = Optional.empty();
    if (table.needsKeys() && !route.open()) {
      workspace = keyOf(exchange).flatMap(table::workspaceOf);
      if (workspace.isEmpty()) {
        refuse(exchange, verdicts.confirm(Refusal.UNKNOWN_KEY, configuration.revision()));
        return;
      }
    }
    String id = headers.getFirst(dependencies.headers().requestId());
    if (id == null || id.isBlank()) {
      refuse(exchange, Refusal.NO_REQUEST_ID);
      return;
    }
    long waitedMs = dependencies.readDelay().maxMs();
    long timeoutMs = timeoutMs(headers, route) - waitedMs;
    if (timeoutMs <= 0) {
      refuse(exchange, Refusal.DEADLINE_PASSED);
      return;
    }
    if (!dependencies.endsBeforeStop(timeoutMs)) {
      refuse(exchange, Refusal.STOPPING);
      return;
    }
    long bodyBytes = exchange.getRequestContentLength();
    boolean exceedsLimit = bodyBytes > table.limits().maxBodyBytes();
    if (!exceedsLimit && !dependencies.responseMemory().hasRoomFor(bodyBytes)) {
      refuse(exchange, Refusal.NO_MEMORY);
      return;
    }
    ResponseMemory.Share memory = openShare(exchange, exceedsLimit ? 0 : bodyBytes);
    Optional<RoutedWorkspace> owner = workspace;
    BodyReader.read(
        exchange,
        (int) Math.min(Integer.MAX_VALUE, table.limits().maxBodyBytes()),
        dependencies.timers(),
        timeoutMs,
        body -> {
          memory.setRequestBytes(body.length);
          CallerRequest request =
              new CallerRequest(
                  id,
                  exchange.getRequestMethod(),
                  targetOf(exchange),
                  headers,
                  body,
                  route,
                  owner,
                  table.number(),
                  arrivedAtMs,
                  arrivedAtMs + timeoutMs);
          start(exchange, table, request, waitedMs, memory);
        },
        fault -> refuse(exchange, refusalOf(fault, configuration.revision())));
  }

  private Refusal refusalOf(BodyReader.Fault fault, long revision) {
    return fault == BodyReader.Fault.TOO_LARGE
        ? verdicts.confirm(Refusal.BODY_TOO_LARGE, revision)
        : Refusal.INCOMPLETE_BODY;
  }

  /** Counts what the request holds until the last byte of its response is written. */
  private ResponseMemory.Share openShare(HttpServerExchange exchange, long bodyBytes) {
    ResponseMemory.Share memory = dependencies.responseMemory().open();
    memory.setRequestBytes(bodyBytes);
    exchange.addExchangeCompleteListener(
        (ended, next) -> {
          memory.close();
          next.proceed();
        });
    return memory;
  }

  private long timeoutMs(HeaderMap headers, Route route) {
    String value = headers.getFirst(dependencies.headers().deadlineMs());
    if (value == null) {
      return route.timeoutMs();
    }
    try {
      return Math.max(1, Math.min(route.timeoutMs(), (long) Double.parseDouble(value.trim())));
    } catch (NumberFormatException e) {
      LOG.debugf("deadline header %s is not a number; the timeout of the route applies", value);
      return route.timeoutMs();
    }
  }

  private static String targetOf(HttpServerExchange exchange) {
    String query = exchange.getQueryString();
    return query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + "?" + query;
  }

  private void start(
      HttpServerExchange exchange,
      RoutingTable table,
      CallerRequest request,
      long waitedMs,
      ResponseMemory.Share memory) {
    // The stop may have begun while the body arrived.
    if (!dependencies.endsBeforeStop(request.deadlineAtMs() - dependencies.clock().millis())) {
      refuse(exchange, Refusal.STOPPING);
      return;
    }
    String service = drawService(request.route());
    ForwardRun run = new ForwardRun(dependencies, exchange, request, service, memory);
    CallerConnection.watch(exchange, run::onCallerDisconnected);
    if (waitedMs > 0) {
      CallerConnection.detectClose(exchange);
    }
    run.start(table);
  }

  private String drawService(Route route) {
    long total = route.services().stream().mapToLong(WeightedService::weight).sum();
    long drawn = random.nextLong(total);
    for (WeightedService weighted : route.services()) {
      drawn -= weighted.weight();
      if (drawn < 0) {
        return weighted.service();
      }
    }
    throw new IllegalStateException(
        "route " + route.name() + " has no service with a positive weight");
  }

  private void refuse(HttpServerExchange exchange, Refusal refusal) {
    DecisionLine.of("request refused")
        .with("request", exchange.getRequestHeaders().getFirst(dependencies.headers().requestId()))
        .with("reason", refusal.error())
        .with("status", refusal.status())
        .with("host", hostOf(exchange))
        .with("path", exchange.getRequestURI())
        .with("revision", dependencies.configuration().current().revision())
        .with(
            "revisionAgeMs",
            dependencies.clock().millis() - dependencies.configuration().confirmedAtMs())
        .with("confirmedSinceResume", dependencies.viewIsCurrent().getAsBoolean())
        .with("waitedMs", dependencies.readDelay().maxMs())
        .with("keyHash", keyOf(exchange).map(KeyFingerprint::of).orElse("-"))
        .info(LOG);
    dependencies.metrics().requestRefused(refusal);
    RefusalWriter.write(exchange, refusal);
  }
}
