package org.ragwortpick.consensus.storage;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ragwortpick.common.Json;
import org.ragwortpick.consensus.raft.ReplicaId;

/**
 * Identity of a data folder. A disk that was lost and replaced has another one, so its replicas
 * cannot vote again in an election in which the lost disk has voted.
 *
 * @param clusterId cluster id of the settings
 * @param lineage random id made by bootstrap; empty until a new folder has learnt it. Clusters that
 *     were bootstrapped twice under one cluster id refuse each other by it
 * @param vm name of the VM
 * @param incarnation incarnation of the disk
 * @param groups groups that have a log in the folder
 */
public record DiskIdentity(
    String clusterId, String lineage, String vm, String incarnation, List<String> groups) {

  private static final String FILE_NAME = "identity.json";
  private static final String TEMPORARY_NAME = "identity.json.tmp";

  /**
   * Copies the groups.
   *
   * @param clusterId cluster id of the settings
   * @param lineage random id made by bootstrap
   * @param vm name of the VM
   * @param incarnation incarnation of the disk
   * @param groups groups that have a log in the folder
   */
  public DiskIdentity {
    groups = List.copyOf(groups);
  }

  /**
   * Makes the identity of an empty folder that has yet to join.
   *
   * @param clusterId cluster id of the settings
   * @param vm name of the VM
   * @param random source of the incarnation
   * @return the identity
   */
  public static DiskIdentity random(String clusterId, String vm, RandomGenerator random) {
    return new DiskIdentity(clusterId, "", vm, randomId(random), List.of());
  }

  /**
   * Makes a random id.
   *
   * @param random source of the id
   * @return 16 hexadecimal digits
   */
  public static String randomId(RandomGenerator random) {
    return String.format("%016x", random.nextLong());
  }

  /**
   * Reads the identity of a folder.
   *
   * @param disk the folder
   * @return the identity; empty if the folder is not formatted
   * @throws IOException if it cannot be read
   */
  public static Optional<DiskIdentity> read(Disk disk) throws IOException {
    if (!disk.list().contains(FILE_NAME)) {
      return Optional.empty();
    }
    try {
      return Optional.of(Json.MESSAGES.readValue(disk.read(FILE_NAME), DiskIdentity.class));
    } catch (JsonProcessingException e) {
      throw new CorruptDataFolderException(FILE_NAME + " is damaged");
    }
  }

  /**
   * Writes the identity durably.
   *
   * @param disk the folder
   * @throws IOException if it cannot be written
   */
  public void write(Disk disk) throws IOException {
    try (DiskFile file = disk.create(TEMPORARY_NAME)) {
      file.append(ByteBuffer.wrap(Json.MESSAGES.writeValueAsBytes(this)));
      file.sync();
    }
    disk.rename(TEMPORARY_NAME, FILE_NAME);
  }

  /**
   * Returns the identity of the replicas in the folder.
   *
   * @return {@code <vm>/<incarnation>}
   */
  public String replicaId() {
    return ReplicaId.of(vm, incarnation);
  }

  /**
   * Returns the identity after it has learnt its lineage.
   *
   * @param learnt lineage of the cluster
   * @return the identity
   */
  public DiskIdentity withLineage(String learnt) {
    return new DiskIdentity(clusterId, learnt, vm, incarnation, groups);
  }

  /**
   * Returns the identity with one more group.
   *
   * @param group name of the group
   * @return the identity
   */
  public DiskIdentity withGroup(String group) {
    List<String> extended = new ArrayList<>(groups);
    extended.add(group);
    return new DiskIdentity(clusterId, lineage, vm, incarnation, extended);
  }
}
