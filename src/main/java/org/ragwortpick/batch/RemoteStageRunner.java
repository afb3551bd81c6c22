package org.ragwortpick.batch;

import io.grpc.BindableService;
import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.Timers;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.policy.admission.PathAdmission;
import org.ragwortpick.sync.VmRecord;

/**
 * Submits stage work to the collector of its service, and to the next one if that collector fails.
 * Confined to one thread.
 */
public final class RemoteStageRunner implements StageRunner, ResultReleaser {

  private static final Logger LOG = Logger.getLogger(RemoteStageRunner.class);

  /** Time for which a collector is skipped after it failed or did not reply. */
  private static final long FAILED_SKIP_MS = 2_000;

  /**
   * Time for which a collector is skipped after it refused work: until its next poll of the
   * leader's state.
   */
  private static final long REFUSED_SKIP_MS = 500;

  /**
   * Maximum number of attempts for one stage, each at another collector, while collectors refuse
   * it.
   */
  private static final int MAX_ATTEMPTS = 3;

  /** Maximum number of collectors that fail while they hold one stage, which may be the cause. */
  private static final int MAX_FAILED_COLLECTORS = 4;

  private final HostPort localAddress;
  private final Supplier<List<VmRecord>> vms;
  private final StageCollectors localCollectors;
  private final LongSupplier viewAgeMs;
  private final PeerChannels channels;
  private final Executor loop;
  private final Timers timers;
  private final Clock clock;
  private final Map<HostPort, Long> skippedUntilMs = new HashMap<>();
  private final Map<HostPort, CollectorCalls> callsByCollector = new HashMap<>();
  private final QueueWaits waits;
  private final PathAdmission paths;

  /**
   * Creates the runner.
   *
   * @param localAddress peer address of the local VM
   * @param vms VMs in the local view
   * @param localCollectors collectors of the local VM
   * @param viewAgeMs age of the local VM's view of the upstreams in milliseconds
   * @param channels channels to other VMs
   * @param loop thread to which the runner and the local collectors are confined
   * @param timers timers on that thread
   * @param clock monotonic clock
   * @param paths estimates of the local VM
   */
  public RemoteStageRunner(
      HostPort localAddress,
      Supplier<List<VmRecord>> vms,
      StageCollectors localCollectors,
      LongSupplier viewAgeMs,
      PeerChannels channels,
      Executor loop,
      Timers timers,
      Clock clock,
      PathAdmission paths) {
    this.localAddress = localAddress;
    this.vms = vms;
    this.localCollectors = localCollectors;
    this.viewAgeMs = viewAgeMs;
    this.channels = channels;
    this.loop = loop;
    this.timers = timers;
    this.clock = clock;
    this.waits = new QueueWaits(clock);
    this.paths = paths;
  }

  /**
   * Creates the service through which other VMs use the local collectors.
   *
   * @return the gRPC service
   */
  public BindableService service() {
    return new BatchCollectorService(localCollectors, waits, paths, loop, clock);
  }

  @Override
  public StageTicket submit(StageWork work, Consumer<SubmissionEnd> whenEnded) {
    Ticket ticket = new Ticket(work, clock.millis(), whenEnded);
    ticket.send();
    return ticket;
  }

  @Override
  public long expectedWaitMs(String service, int priority) {
    if (collectorOf(service).filter(localAddress::equals).isPresent()) {
      return localCollectors.expectedWaitMs(service, priority);
    }
    return waits.expectedWaitMs(service, priority);
  }

  private Optional<HostPort> collectorOf(String service) {
    long nowMs = clock.millis();
    skippedUntilMs.values().removeIf(untilMs -> nowMs >= untilMs);
    return CollectorPlacement.order(service, vms.get()).stream()
        .map(VmRecord::peerAddress)
        .filter(address -> !skippedUntilMs.containsKey(address))
        .findFirst();
  }

  @Override
  public void release(String service, List<String> handles) {
    collectorOf(service).ifPresent(collector -> release(collector, service, handles));
  }

  private void release(HostPort collector, String service, List<String> handles) {
    if (handles.isEmpty()) {
      return;
    }
    if (collector.equals(localAddress)) {
      localCollectors.release(service, handles);
      return;
    }
    CollectorCalls.release(channels.channel(collector), collector, service, handles);
  }

  private CollectorCalls newCalls(HostPort collector) {
    return new CollectorCalls(collector, channels, viewAgeMs, waits, paths, loop, timers, clock);
  }

  /** Submitted work, which moves to the next collector if one fails. */
  private final class Ticket implements StageTicket, CollectorCallListener {

    private final StageWork work;
    private final long submittedAtMs;
    private final Consumer<SubmissionEnd> whenEnded;
    private HostPort collector;
    private Runnable cancel = () -> {};
    private int attempts;
    private int failedCollectors;
    private boolean ended;
    private List<String> handles = List.of();

    private Ticket(StageWork work, long submittedAtMs, Consumer<SubmissionEnd> whenEnded) {
      this.work = work;
      this.submittedAtMs = submittedAtMs;
      this.whenEnded = whenEnded;
    }

    private void send() {
      Optional<HostPort> chosen = collectorOf(work.service());
      long elapsedMs = clock.millis() - submittedAtMs;
      if (chosen.isEmpty() || elapsedMs >= work.remainingMs()) {
        LOG.infof(
            "request %s: stage %d refused, %s",
            work.requestId(),
            work.stage(),
            chosen.isEmpty() ? "no VM can collect its pieces" : "its deadline has passed");
        end(
            new SubmissionEnd.Failed(
                chosen.isEmpty() ? SubmissionEnd.Cause.UNAVAILABLE : SubmissionEnd.Cause.LATE, 0));
        return;
      }
      collector = chosen.get();
      attempts++;
      StageWork remainingWork = work.after(elapsedMs);
      if (collector.equals(localAddress)) {
        cancel = localCollectors.submit(remainingWork, viewAgeMs.getAsLong(), this::onReply);
      } else {
        callsByCollector
            .computeIfAbsent(collector, RemoteStageRunner.this::newCalls)
            .send(remainingWork, this);
      }
    }

    @Override
    public void onStarted(Runnable cancelCall) {
      cancel = cancelCall;
    }

    @Override
    public void onCollectorFailed(String reason) {
      failedCollectors++;
      if (failedCollectors >= MAX_FAILED_COLLECTORS) {
        LOG.warnf(
            "request %s: stage %d given up, %d collectors failed while they held it: %s",
            work.requestId(), work.stage(), failedCollectors, reason);
        cancel.run();
        end(new SubmissionEnd.Failed(SubmissionEnd.Cause.FAILED, 0));
      } else {
        sendToNextCollector(reason, FAILED_SKIP_MS);
      }
    }

    private void sendToNextCollector(String reason, long skipMs) {
      if (!ended) {
        LOG.infof(
            "request %s: stage %d moves from collector %s to the next one after attempt %d: %s",
            work.requestId(), work.stage(), collector, attempts, reason);
        cancel.run();
        skippedUntilMs.put(collector, clock.millis() + skipMs);
        send();
      }
    }

    /** A refusal by an unavailable collector does not end the work while attempts are left. */
    @Override
    public void onReply(SubmissionEnd end) {
      boolean unavailable =
          end instanceof SubmissionEnd.Failed failed
              && failed.cause() == SubmissionEnd.Cause.UNAVAILABLE;
      if (unavailable && attempts < MAX_ATTEMPTS) {
        sendToNextCollector("the collector refused the work as unavailable", REFUSED_SKIP_MS);
      } else {
        end(end);
      }
    }

    private void end(SubmissionEnd end) {
      if (ended) {
        return;
      }
      ended = true;
      if (end instanceof SubmissionEnd.Produced produced) {
        handles = produced.handles();
      }
      whenEnded.accept(end);
    }

    @Override
    public void abandon() {
      if (!ended) {
        ended = true;
        cancel.run();
      } else if (!handles.isEmpty()) {
        List<String> released = handles;
        handles = List.of();
        release(collector, work.service(), released);
      }
    }
  }
}
