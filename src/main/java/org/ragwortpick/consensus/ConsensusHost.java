package org.ragwortpick.consensus;

import io.grpc.BindableService;
import java.io.IOException;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.ragwortpick.consensus.raft.Envelope;
import org.ragwortpick.consensus.raft.Message;
import org.ragwortpick.consensus.raft.ReplicaId;
import org.ragwortpick.consensus.storage.DiskIdentity;
import org.ragwortpick.consensus.transport.MessageCodec;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.proto.ConsensusBatch;
import org.ragwortpick.proto.ConsensusDescription;

/** Hosts all consensus groups of one control VM, which share a data folder and its identity. */
public final class ConsensusHost implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(ConsensusHost.class);

  private final ConsensusOptions options;
  private final DataFolder folder;
  private final Map<String, GroupRunner> runners = new TreeMap<>();

  private ConsensusHost(ConsensusOptions options, DataFolder folder) {
    this.options = options;
    this.folder = folder;
  }

  /**
   * Opens the data folder and reads the logs. No message is sent and no entry is applied before
   * {@link #start}.
   *
   * @param options settings of this VM
   * @param stateMachines state machine of each group by its name
   * @param channels channels to the other control VMs; not closed by the host
   * @param clock monotonic clock
   * @return the host
   * @throws IOException if the folder cannot be read or written, is in use, belongs to another VM
   *     or is damaged; the message names the remedy
   */
  public static ConsensusHost open(
      ConsensusOptions options,
      Map<String, StateMachine> stateMachines,
      PeerChannels channels,
      Clock clock)
      throws IOException {
    return open(options, stateMachines, channels, clock, new SecureRandom());
  }

  /**
   * Opens a host with a given source of identities and election timeouts.
   *
   * @param options settings of this VM
   * @param stateMachines state machine of each group
   * @param channels channels to the other control VMs
   * @param clock monotonic clock
   * @param random source of random numbers
   * @return the host
   * @throws IOException if the folder cannot be opened
   */
  static ConsensusHost open(
      ConsensusOptions options,
      Map<String, StateMachine> stateMachines,
      PeerChannels channels,
      Clock clock,
      RandomGenerator random)
      throws IOException {
    ConsensusHost host = new ConsensusHost(options, DataFolder.open(options, random));
    boolean opened = false;
    try {
      for (Map.Entry<String, StateMachine> group : new TreeMap<>(stateMachines).entrySet()) {
        host.runners.put(
            group.getKey(),
            new GroupRunner(
                group.getKey(), options, host.folder, group.getValue(), channels, clock, random));
      }
      opened = true;
      return host;
    } finally {
      if (!opened) {
        host.close();
      }
    }
  }

  /**
   * Adds control VMs that receive the join requests of this VM.
   *
   * @param vms names of control VMs of an open membership
   */
  public void addPeers(List<String> vms) {
    runners.values().forEach(runner -> vms.forEach(runner::addPeer));
  }

  /** Starts all groups. {@link #service} must already be reachable by the other control VMs. */
  public void start() {
    runners.values().forEach(GroupRunner::start);
  }

  /**
   * Returns the service that receives the messages of the other control VMs.
   *
   * @return service for the gRPC server of this VM
   */
  public BindableService service() {
    return new ConsensusService(this);
  }

  /**
   * Returns a group.
   *
   * @param name name of the group
   * @return the group
   * @throws IllegalArgumentException if the host was opened without such a group
   */
  public ConsensusGroup group(String name) {
    return Optional.ofNullable(runners.get(name))
        .map(GroupRunner::replica)
        .orElseThrow(
            () -> new IllegalArgumentException("consensus host has no group named " + name));
  }

  /**
   * Returns the state of all groups.
   *
   * @return states in the order of the group names
   */
  public List<GroupStatus> statuses() {
    return runners.values().stream().map(runner -> runner.replica().status()).toList();
  }

  /** Stops all groups and releases the data folder. Pending calls complete with an error. */
  @Override
  public void close() throws IOException {
    for (GroupRunner runner : runners.values()) {
      runner.close();
    }
    folder.close();
  }

  /**
   * Describes the data folder for the check that bootstrap on another VM makes.
   *
   * @return cluster id, lineage and replica identity
   */
  ConsensusDescription describe() {
    DiskIdentity identity = folder.identity();
    return ConsensusDescription.newBuilder()
        .setClusterId(identity.clusterId())
        .setLineage(identity.lineage())
        .setIdentity(identity.replicaId())
        .build();
  }

  /**
   * Delivers messages to their group. Messages of other clusters and of VMs that may not vote are
   * dropped.
   *
   * @param batch messages of one gRPC call
   * @throws IOException if the lineage cannot be written
   */
  void deliver(ConsensusBatch batch) throws IOException {
    GroupRunner runner = runners.get(batch.getGroup());
    if (runner == null || !batch.getClusterId().equals(options.clusterId())) {
      return;
    }
    List<Envelope> envelopes =
        batch.getMessagesList().stream()
            .map(MessageCodec::decode)
            .flatMap(Optional::stream)
            .filter(envelope -> options.mayVote(ReplicaId.vmOf(envelope.from())))
            .toList();
    if (batch.getLineage().isEmpty()) {
      // A replica that has not joined yet may send join requests only.
      envelopes =
          envelopes.stream()
              .filter(envelope -> envelope.message() instanceof Message.JoinRequest)
              .toList();
    } else if (folder.identity().lineage().isEmpty()) {
      if (envelopes.stream().noneMatch(this::isFromLeader)) {
        return;
      }
      folder.adoptLineage(batch.getLineage());
    }
    boolean sameLineage =
        batch.getLineage().isEmpty() || batch.getLineage().equals(folder.identity().lineage());
    if (!sameLineage) {
      LOG.warnf(
          "group %s: dropped messages of a cluster that was bootstrapped separately under the same"
              + " cluster id; stop one of the two clusters and empty its data folders",
          batch.getGroup());
    } else if (!envelopes.isEmpty()) {
      runner.receive(envelopes);
    }
  }

  private boolean isFromLeader(Envelope envelope) {
    return envelope.to().equals(folder.identity().replicaId())
        && (envelope.message() instanceof Message.AppendRequest
            || envelope.message() instanceof Message.SnapshotChunk);
  }
}
