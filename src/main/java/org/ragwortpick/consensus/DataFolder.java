package org.ragwortpick.consensus;

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
import org.ragwortpick.proto.ConsensusDescription;

/**
 * Data folder of the consensus module: the identity of the disk and one subfolder per group. Locked
 * by one process at a time.
 */
public final class DataFolder implements AutoCloseable {

  private static final String LOCK_NAME = "lock";
  private static final String GROUP_PREFIX = "group-";

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
   * Must be run once per cluster, while the process of this VM is stopped. The other control VMs
   * start with empty folders and join.
   *
   * @param options settings of this VM
   * @param groups names of all groups
   * @param channels channels to the other control VMs
   * @param random source of the lineage of the cluster
   * @return control VMs that could not be reached, so that it is unknown whether their folders are
   *     formatted
   * @throws BootstrapRefusedException if this or another control VM has a formatted folder of the
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
      ReplicaProbe probe = new ReplicaProbe(channels);
      List<String> unreachable = new ArrayList<>();
      for (Map.Entry<String, HostPort> controlVm : new TreeMap<>(options.controlVms()).entrySet()) {
        if (!controlVm.getKey().equals(options.vm())) {
          Optional<ConsensusDescription> description =
              probe.describe(controlVm.getValue()).toJavaOptional();
          if (description.isEmpty()) {
            unreachable.add(controlVm.getKey());
          } else if (description.get().getClusterId().equals(options.clusterId())
              && !description.get().getLineage().isEmpty()) {
            throw new BootstrapRefusedException(
                "VM "
                    + controlVm.getKey()
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
   * Opens and locks the data folder. An empty folder gets a new random identity.
   *
   * @param options settings of this VM
   * @param random source of the identity
   * @return the locked folder
   * @throws IOException if the folder cannot be read or written, is in use, or belongs to another
   *     VM or cluster
   */
  static DataFolder open(ConsensusOptions options, RandomGenerator random) throws IOException {
    FileDisk disk = new FileDisk(options.dataFolder());
    FileChannel lockChannel = lock(options.dataFolder());
    boolean opened = false;
    try {
      Optional<DiskIdentity> storedIdentity = DiskIdentity.read(disk);
      DiskIdentity identity =
          storedIdentity.orElseGet(
              () -> DiskIdentity.random(options.clusterId(), options.vm(), random));
      if (!identity.vm().equals(options.vm())
          || !identity.clusterId().equals(options.clusterId())) {
        throw new IOException(
            String.format(
                "the data folder belongs to VM %s of cluster %s, not to VM %s of cluster %s;"
                    + " correct the settings or the folder",
                identity.vm(), identity.clusterId(), options.vm(), options.clusterId()));
      }
      if (storedIdentity.isEmpty()) {
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
   * Stores the lineage of the cluster that a new folder has joined. Has no effect on a folder that
   * already has a lineage.
   *
   * @param lineage lineage of the cluster
   * @throws IOException if the identity cannot be written
   */
  synchronized void adoptLineage(String lineage) throws IOException {
    if (identity.lineage().isEmpty()) {
      DiskIdentity updated = identity.withLineage(lineage);
      updated.write(disk);
      identity = updated;
    }
  }

  /**
   * Opens the log of a group, or creates it if the folder never contained one.
   *
   * @param group name of the group
   * @return the log
   * @throws CorruptDataFolderException if the log is missing
   * @throws IOException if the log cannot be read or written
   */
  synchronized LogStore openLog(String group) throws IOException {
    FileDisk groupDisk = new FileDisk(path.resolve(GROUP_PREFIX + group));
    if (identity.groups().contains(group)) {
      if (!LogStore.exists(groupDisk)) {
        // A replica that lost its log under the same identity could vote twice in one term.
        throw new CorruptDataFolderException("the log of group " + group + " is missing");
      }
      return LogStore.open(groupDisk);
    }
    LogStore created = LogStore.create(groupDisk, RecoveredState.initial(Membership.EMPTY));
    DiskIdentity updated = identity.withGroup(group);
    updated.write(disk);
    identity = updated;
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
    Membership initialMembership = Membership.EMPTY.withVoter(formatted.replicaId());
    for (String group : formatted.groups()) {
      FileDisk groupDisk = new FileDisk(path.resolve(GROUP_PREFIX + group));
      LogStore.create(groupDisk, RecoveredState.initial(initialMembership)).close();
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
          "the data folder " + folder + " is in use by another process; stop that process first");
    }
    return channel;
  }
}
