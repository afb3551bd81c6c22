package org.ragwortpick.consensus.raft;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.ToLongFunction;
import org.ragwortpick.common.Json;

/**
 * Voters of a group.
 *
 * <p>Learners are not listed: they are not part of any quorum, so the leader keeps them as soft
 * state that join requests renew.
 *
 * @param voters identities of the voters in the order in which they were added
 * @param retiredVms VMs that an operator replaced; their join requests are ignored
 */
public record Membership(List<String> voters, List<String> retiredVms) {

  /** Membership of a replica that has not joined yet. */
  public static final Membership EMPTY = new Membership(List.of(), List.of());

  /**
   * Copies the lists.
   *
   * @param voters identities of the voters
   * @param retiredVms VMs that an operator replaced
   */
  public Membership {
    voters = List.copyOf(voters);
    retiredVms = List.copyOf(retiredVms);
  }

  /**
   * Returns the number of voters that form a quorum.
   *
   * @return a majority
   */
  public int quorum() {
    return voters.size() / 2 + 1;
  }

  /**
   * Returns the highest value that a quorum of voters has reached.
   *
   * @param value value of one voter
   * @return the highest value v such that a quorum has v or more; {@link Long#MIN_VALUE} if there
   *     are no voters
   */
  public long quorumValue(ToLongFunction<String> value) {
    if (voters.isEmpty()) {
      return Long.MIN_VALUE;
    }
    long[] values = voters.stream().mapToLong(value).toArray();
    Arrays.sort(values);
    return values[values.length - quorum()];
  }

  /**
   * Returns the voters that belong to a VM.
   *
   * @param vm name of the VM
   * @return identities, oldest first
   */
  public List<String> votersOf(String vm) {
    return voters.stream().filter(voter -> ReplicaId.vmOf(voter).equals(vm)).toList();
  }

  /**
   * Returns a membership with an additional voter, whose VM is no longer retired.
   *
   * @param identity identity to add
   * @return the new membership
   */
  public Membership withVoter(String identity) {
    List<String> extended = new ArrayList<>(voters);
    extended.add(identity);
    String vm = ReplicaId.vmOf(identity);
    return new Membership(
        extended, retiredVms.stream().filter(retired -> !retired.equals(vm)).toList());
  }

  /**
   * Returns a membership without a voter.
   *
   * @param identity identity to remove
   * @return the new membership
   */
  public Membership withoutVoter(String identity) {
    return new Membership(
        voters.stream().filter(voter -> !voter.equals(identity)).toList(), retiredVms);
  }

  /**
   * Returns a membership in which a VM is retired.
   *
   * @param vm name of the VM
   * @return the new membership
   */
  public Membership withRetired(String vm) {
    if (retiredVms.contains(vm)) {
      return this;
    }
    List<String> extended = new ArrayList<>(retiredVms);
    extended.add(vm);
    return new Membership(voters, extended);
  }

  /**
   * Encodes the membership for entries and snapshots.
   *
   * @return JSON
   */
  public byte[] encode() {
    try {
      return Json.MESSAGES.writeValueAsBytes(this);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Decodes a membership.
   *
   * @param data JSON
   * @return the membership
   */
  public static Membership decode(byte[] data) {
    try {
      return Json.MESSAGES.readValue(data, Membership.class);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
