package org.ragwortpick.vm;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jboss.logging.Logger;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.Service;
import org.ragwortpick.entry.AddressResponse;
import org.ragwortpick.entry.EntryDependencies;
import org.ragwortpick.entry.EntrySettings;
import org.ragwortpick.entry.ExecutorTimers;
import org.ragwortpick.entry.RequestIds;
import org.ragwortpick.entry.RequestMetrics;
import org.ragwortpick.entry.RequestPolicies;
import org.ragwortpick.entry.WorkCounter;
import org.ragwortpick.entry.http.CallerApi;
import org.ragwortpick.entry.http.EntryServer;
import org.ragwortpick.entry.upstream.UndertowUpstreamClient;
import org.ragwortpick.ledger.ExecutionLedger;
import org.ragwortpick.policy.PolicySet;
import org.ragwortpick.settings.Settings;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.VmState;
import org.ragwortpick.sync.rpc.SyncNode;
import org.ragwortpick.tracing.JsonSpanExporter;
import org.ragwortpick.tracing.TracingSetup;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Components of a process that serve callers. */
final class EntryComponents implements AutoCloseable {

  private static final Logger TRACES = Logger.getLogger("org.ragwortpick.traces");
  private static final Logger LOG = Logger.getLogger(EntryComponents.class);
  private static final long POLICY_UPDATE_INTERVAL_MS = 250;
  private static final long EXPIRY_INTERVAL_MS = 20;
  private static final int IO_THREADS = 2;
  private static final int BUFFER_SIZE_BYTES = 16 * 1024;
  private static final long CLOSE_TIMEOUT_MS = 2_000;

  private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_SIZE_BYTES);
  private final TracingSetup tracing = new TracingSetup(JsonSpanExporter.toLog(TRACES));
  private final WorkCounter work;
  private final XnioWorker worker;
  private final UndertowUpstreamClient client;
  private final PolicySet policies;
  private final EntryServer server;
  private final SyncNode sync;

  /**
   * Creates the components without listening yet.
   *
   * @param settings settings of the process
   * @param sync sync module of the process
   * @param ledger ledger of the execution records
   * @param clock monotonic clock
   * @param scheduler executor of timers
   * @param registry metrics
   * @param work counter of the requests in flight
   * @throws IOException if the worker threads cannot be created
   */
  EntryComponents(
      Settings settings,
      SyncNode sync,
      ExecutionLedger ledger,
      Clock clock,
      ScheduledExecutorService scheduler,
      PrometheusRegistry registry,
      WorkCounter work)
      throws IOException {
    this.sync = sync;
    this.work = work;
    EntrySettings entrySettings =
        EntrySettings.DEFAULTS.withMaxBodyBytes((int) settings.limits().maxBodyBytes());
    this.worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, IO_THREADS)
                    .set(Options.TCP_NODELAY, true)
                    .getMap());
    this.client = new UndertowUpstreamClient(worker, buffers, clock, entrySettings);
    this.policies =
        PolicySet.create(
            settings.dataCentre(),
            sync.configurationView().current(),
            clock,
            new SplittableRandom(new SecureRandom().nextLong()));
    EntryDependencies dependencies =
        new EntryDependencies(
            requestPolicies(),
            sync.configurationView(),
            sync.upstreamDirectory(),
            new TakenOutGate(
                clock, sync.configurationView(), sync.lifeCycle()::state, settings.dataCentre()),
            client,
            new ExecutorTimers(scheduler),
            clock,
            entrySettings,
            tracing.tracer(),
            new RequestMetrics(registry),
            work);
    AtomicLong addressRequests = new AtomicLong();
    CallerApi api =
        new CallerApi(
            dependencies,
            ledger,
            () -> addressResponse(addressRequests.incrementAndGet()),
            new RequestIds(settings.vm(), new SecureRandom().nextLong()),
            settings.vm());
    HostPort address = settings.callerAddress();
    this.server = new EntryServer(address.host(), address.port(), worker, buffers, api, work);
    scheduler.scheduleWithFixedDelay(
        this::updatePolicies, 0, POLICY_UPDATE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    scheduler.scheduleWithFixedDelay(
        policies::expire, EXPIRY_INTERVAL_MS, EXPIRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private RequestPolicies requestPolicies() {
    return new RequestPolicies(
        policies.admission(),
        policies.callAdmission(),
        policies.deadlineBudget(),
        policies.selector(),
        policies.limiter(),
        policies.leaving(),
        policies.pauses(),
        sync.coldAllowances(),
        policies.retryBudget(),
        policies.hedgePolicy(),
        policies.prefixIndex());
  }

  private AddressResponse addressResponse(long requestNumber) {
    var bestAddresses = sync.addressResponses().preferredFor(Long.toString(requestNumber));
    return new AddressResponse(bestAddresses.addresses(), (int) bestAddresses.validForSeconds());
  }

  private void updatePolicies() {
    try {
      Configuration configuration = sync.configurationView().current();
      List<Upstream> upstreams = new ArrayList<>();
      for (Service service : configuration.inventory().services()) {
        upstreams.addAll(sync.upstreamDirectory().upstreams(service.name()));
      }
      long entryVms =
          sync.vmDirectory().vms().stream().filter(vm -> vm.state() == VmState.READY).count();
      policies.update(configuration, (int) Math.max(1, entryVms), upstreams);
    } catch (RuntimeException e) {
      // An uncaught exception would cancel the periodic task.
      LOG.errorf(e, "failed to update the policies; retrying in %d ms", POLICY_UPDATE_INTERVAL_MS);
    }
  }

  /** Starts to listen for callers. */
  void start() {
    server.start();
  }

  @Override
  public void close() {
    server.stop();
    client.close();
    worker.shutdown();
    try {
      worker.awaitTermination(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    tracing.close();
    buffers.close();
  }
}
