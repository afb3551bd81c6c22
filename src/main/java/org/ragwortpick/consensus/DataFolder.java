package org.ragwortpick.consensus;

import io.grpc.StatusRuntimeException;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.consensus.raft.Membership;
import org.ragwortpick.consensus.raft.RecoveredState;
import org.ragwortpick.consensus.raft.ReplicaId;
import org.ragwortpick.consensus.storage.CorruptDataFolderException;
import org.ragwortpick.consensus.storage.DiskIdentity;
import org.ragwortpick.consensus.storage.FileDisk;
import org.ragwortpick.consensus.storage.LogStore;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.proto.ConsensusDescribeRequest;
import org.ragwortpick.proto.ConsensusDescription;
import org.ragwortpick.proto.ConsensusGrpc;

/**
 * Data folder of the consensus module: the identity of the disk and one folder per group. Held by
 * one process at a time.
 */
public final class DataFolder implements AutoCloseable {

  private static final String LOCK_NAME = "lock";
  private static final String GROUP_PREFIX = "group-";
  private static final long DESCRIBE_TIMEOUT_MS = 2_000;

  private final Path path;
  private final FileDisk disk;
  private final FileChannel lockChannel;
  private DiskIdentity identity;

  private DataFolder(Path path, FileDisk disk, FileChannel lockChannel, DiskIdentity identity) {
    this.path = path;
    this.disk = disk;
    this.lockChannel = lockChannel;
    this.identity = identity;
  }

  /**
   * Formats the data folder of the first control VM of a new cluster, which becomes the only voter.
   * To be run once per cluster, while the process of this VM is stopped. The other control VMs
   * start on empty folders and join.
   *
   * @param options settings of this VM
   * @param groups names of all groups
   * @param channels channels to the other control VMs
   * @param random source of the lineage of the cluster
   * @return control VMs that could not be asked whether they hold a formatted folder
   * @throws BootstrapRefusedException if this or another control VM holds a formatted folder of the
   *     cluster
   * @throws IOException if the folder cannot be written or is in use
   */
  public static List<String> bootstrap(
      ConsensusOptions options, Set<String> groups, PeerChannels channels, RandomGenerator random)
      throws IOException {
    try (DataFolder folder = open(options, random)) {
      if (!folder.identity.lineage().isEmpty()) {
        throw new BootstrapRefusedException(
            "the data folder belongs to cluster "
                + folder.identity.clusterId()
                + " already; start the VM without bootstrap");
      }
      List<String> unreachable = new ArrayList<>();
      for (Map.Entry<String, HostPort> other : new TreeMap<>(options.controlVms()).entrySet()) {
        if (!other.getKey().equals(options.vm())) {
          Optional<ConsensusDescription> description = describe(other.getValue(), channels);
          if (description.isEmpty()) {
            unreachable.add(other.getKey());
          } else if (description.get().getClusterId().equals(options.clusterId())
              && !description.get().getLineage().isEmpty()) {
            throw new BootstrapRefusedException(
                "VM "
                    + other.getKey()
                    + " holds a formatted data folder of this cluster; start this VM with an empty"
                    + " data folder and without bootstrap, it then joins");
          }
        }
      }
      folder.format(options, groups, random);
      return unreachable;
    }
  }

  /**
   * Opens the data folder. An empty one gets a new random identity.
   *
   * @param options settings of this VM
   * @param random source of the identity
   * @return the folder, locked
   * @throws IOException if the folder cannot be read or written, is in use, or belongs to another
   *     VM or cluster
   */
  static DataFolder open(ConsensusOptions options, RandomGenerator random) throws IOException {
    FileDisk disk = new FileDisk(options.dataFolder());
    FileChannel lockChannel = lock(options.dataFolder());
    boolean opened = false;
    try {
      Optional<DiskIdentity> found = DiskIdentity.read(disk);
      DiskIdentity identity =
          found.orElseGet(() -> DiskIdentity.random(options.clusterId(), options.vm(), random));
      if (!identity.vm().equals(options.vm())
          || !identity.clusterId().equals(options.clusterId())) {
        throw new IOException(
            String.format(
                "the data folder is of VM %s, cluster %s; correct the settings or the folder",
                identity.vm(), identity.clusterId()));
      }
      if (found.isEmpty()) {
        identity.write(disk);
      }
      opened = true;
      return new DataFolder(options.dataFolder(), disk, lockChannel, identity);
    } finally {
      if (!opened) {
        lockChannel.close();
      }
    }
  }

  /**
   * Returns the identity of the disk.
   *
   * @return the identity
   */
  synchronized DiskIdentity identity() {
    return identity;
  }

  /**
   * Records the lineage of the cluster that a new folder has joined.
   *
   * @param lineage lineage of the cluster
   * @throws IOException if it cannot be written
   */
  synchronized void learnLineage(String lineage) throws IOException {
    if (identity.lineage().isEmpty()) {
      DiskIdentity learnt = identity.withLineage(lineage);
      learnt.write(disk);
      identity = learnt;
    }
  }

  /**
   * Opens the log of a group and creates it if the folder has never had one.
   *
   * @param group name of the group
   * @return the log
   * @throws CorruptDataFolderException if the log is missing
   * @throws IOException if it cannot be read or written
   */
  synchronized LogStore openLog(String group) throws IOException {
    FileDisk groupDisk = new FileDisk(path.resolve(GROUP_PREFIX + group));
    if (identity.groups().contains(group)) {
      if (!LogStore.exists(groupDisk)) {
        // An identity without its log could vote twice in a term.
        throw new CorruptDataFolderException("the log of group " + group + " is missing");
      }
      return LogStore.open(groupDisk);
    }
    LogStore created = LogStore.create(groupDisk, RecoveredState.initial(Membership.EMPTY));
    DiskIdentity extended = identity.withGroup(group);
    extended.write(disk);
    identity = extended;
    return created;
  }

  @Override
  public void close() throws IOException {
    lockChannel.close();
  }

  private void format(ConsensusOptions options, Set<String> groups, RandomGenerator random)
      throws IOException {
    DiskIdentity formatted =
        new DiskIdentity(
            options.clusterId(),
            DiskIdentity.randomId(random),
            options.vm(),
            ReplicaId.BOOTSTRAP_INCARNATION,
            groups.stream().sorted().toList());
    Membership first = Membership.EMPTY.withVoter(formatted.replicaId());
    for (String group : formatted.groups()) {
      FileDisk groupDisk = new FileDisk(path.resolve(GROUP_PREFIX + group));
      LogStore.create(groupDisk, RecoveredState.initial(first)).close();
    }
    formatted.write(disk);
  }

  private static FileChannel lock(Path folder) throws IOException {
    Path file = folder.resolve(LOCK_NAME);
    FileChannel channel =
        FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    Optional<FileLock> lock;
    try {
      lock = Optional.ofNullable(channel.tryLock());
    } catch (OverlappingFileLockException e) {
      lock = Optional.empty();
    }
    if (lock.isEmpty()) {
      channel.close();
      throw new IOException(
          "the data folder is in use by another process; stop that process first");
    }
    return channel;
  }

  private static Optional<ConsensusDescription> describe(HostPort address, PeerChannels channels) {
    try {
      return Optional.of(
          ConsensusGrpc.newBlockingStub(channels.channel(address))
              .withDeadlineAfter(DESCRIBE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
              .describe(ConsensusDescribeRequest.getDefaultInstance()));
    } catch (StatusRuntimeException e) {
      return Optional.empty();
    }
  }
}
