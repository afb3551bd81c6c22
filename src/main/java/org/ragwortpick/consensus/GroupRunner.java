package org.ragwortpick.consensus;

import java.io.IOException;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.ragwortpick.common.ReportingScheduler;
import org.ragwortpick.consensus.raft.Envelope;
import org.ragwortpick.consensus.raft.RaftCore;
import org.ragwortpick.consensus.raft.RaftSettings;
import org.ragwortpick.consensus.raft.RaftStatus;
import org.ragwortpick.consensus.raft.ReplicaId;
import org.ragwortpick.consensus.storage.LogStore;
import org.ragwortpick.consensus.transport.MessageCodec;
import org.ragwortpick.consensus.transport.PeerSender;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.peer.PeerChannels;

/** Runs the replica of one group: owns its threads, its log file and its senders. */
final class GroupRunner implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(GroupRunner.class);
  private static final long TICK_MS = 20;
  private static final long STOP_TIMEOUT_MS = 5_000;

  /** Limit of the batches queued for the thread of the group; further batches are dropped. */
  private static final int MAX_WAITING_BATCHES = 64;

  private final String vm;
  private final LogStore store;
  private final Replica replica;
  private final ScheduledExecutorService loop;
  private final ExecutorService diskExecutor;
  private final Function<String, PeerSender> senderFactory;
  private final Map<String, PeerSender> senders = new ConcurrentSkipListMap<>();
  private final AtomicInteger waitingBatches = new AtomicInteger();

  /**
   * Opens the log of a group and creates its replica.
   *
   * @param group name of the group
   * @param options settings of this VM
   * @param folder data folder of the VM
   * @param stateMachine state machine of the group
   * @param channels channels to the other control VMs
   * @param clock monotonic clock
   * @param random source of random numbers
   * @throws IOException if the log cannot be read or written
   */
  GroupRunner(
      String group,
      ConsensusOptions options,
      DataFolder folder,
      StateMachine stateMachine,
      PeerChannels channels,
      Clock clock,
      RandomGenerator random)
      throws IOException {
    this.vm = options.vm();
    this.store = folder.openLog(group);
    this.loop = ReportingScheduler.singleDaemon("consensus-" + group);
    this.diskExecutor =
        Executors.newSingleThreadExecutor(task -> newDaemonThread(task, group + "-disk"));
    this.senderFactory =
        peerVm ->
            new PeerSender(
                group,
                options.clusterId(),
                () -> folder.identity().lineage(),
                options.addressOf(peerVm),
                channels);
    options.controlVms().keySet().forEach(this::addPeer);
    RaftSettings settings =
        RaftSettings.standard(
            folder.identity().replicaId(), options::mayVote, options.voterRemovalFloor());
    this.replica =
        new Replica(
            group,
            new RaftCore(settings, store.takeRecovered(), clock, random),
            store,
            stateMachine,
            discardingAfterShutdown(loop),
            discardingAfterShutdown(diskExecutor),
            this::send,
            new LoggingListener(group),
            clock,
            options.snapshotLogBytes());
  }

  /**
   * Returns the replica.
   *
   * @return the replica
   */
  Replica replica() {
    return replica;
  }

  /** Starts the ticks of the replica. */
  void start() {
    loop.scheduleWithFixedDelay(replica::tick, 0, TICK_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Queues messages for the replica, or drops them if its queue is full.
   *
   * @param envelopes messages in order
   */
  void receive(List<Envelope> envelopes) {
    if (waitingBatches.incrementAndGet() <= MAX_WAITING_BATCHES) {
      replica.receive(envelopes);
    }
    discardingAfterShutdown(loop).execute(waitingBatches::decrementAndGet);
  }

  @Override
  public void close() throws IOException {
    loop.shutdownNow();
    diskExecutor.shutdown();
    senders.values().forEach(PeerSender::close);
    try {
      loop.awaitTermination(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
      diskExecutor.awaitTermination(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    replica.failPendingCalls();
    store.close();
  }

  /**
   * Adds a control VM as a receiver of messages.
   *
   * @param peerVm name of the VM
   */
  void addPeer(String peerVm) {
    if (!peerVm.equals(vm)) {
      senders.computeIfAbsent(peerVm, senderFactory);
    }
  }

  private void send(List<Envelope> envelopes) {
    envelopes.stream()
        .map(Envelope::to)
        .filter(to -> !to.isEmpty())
        .forEach(to -> addPeer(ReplicaId.vmOf(to)));
    senders.forEach(
        (peerVm, sender) -> {
          List<Envelope> peerEnvelopes =
              envelopes.stream()
                  .filter(next -> next.to().isEmpty() || ReplicaId.vmOf(next.to()).equals(peerVm))
                  .toList();
          if (!peerEnvelopes.isEmpty()) {
            sender.send(peerEnvelopes.stream().map(MessageCodec::encode).toList());
          }
        });
  }

  /**
   * Logs the changes and failures of a replica.
   *
   * @param group name of the group
   */
  private record LoggingListener(String group) implements ReplicaListener {

    @Override
    public void onChanged(RaftStatus previous, RaftStatus current) {
      DecisionLine.of("replica changed")
          .with("group", group)
          .with("replica", current.identity())
          .with("role", current.role())
          .with("roleBefore", previous.role())
          .with("ready", current.ready())
          .with("term", current.term())
          .with("leader", current.leaderId().orElse("-"))
          .with("voters", String.join(",", current.membership().voters()))
          .with("learners", String.join(",", current.learners()))
          .with("lastIndex", current.lastIndex())
          .with("commitIndex", current.commitIndex())
          .info(LOG);
    }

    @Override
    public void onStopped(Throwable cause) {
      LOG.errorf(cause, "replica of group %s failed; it stops until the VM is restarted", group);
    }

    @Override
    public void onStorageLost(IOException cause) {
      LOG.errorf(
          "storage lost: the disk of group %s refused a write (%s); free space or replace the disk,"
              + " the replica tries again by itself",
          group, cause);
    }

    @Override
    public void onStorageRegained(long lostMs) {
      LOG.infof("storage regained: the disk of group %s was lost for %d ms", group, lostMs);
    }
  }

  private static Thread newDaemonThread(Runnable task, String name) {
    Thread thread = new Thread(task, "consensus-" + name);
    thread.setDaemon(true);
    return thread;
  }

  private static Executor discardingAfterShutdown(Executor executor) {
    return task -> {
      try {
        executor.execute(task);
      } catch (RejectedExecutionException ignored) {
        // The group is stopped; close completes the pending calls.
      }
    };
  }
}
