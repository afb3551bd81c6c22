package org.ragwortpick.consensus.raft;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the next membership change of a leader. Each change adds or removes one voter, so that
 * any quorum before it shares a replica with any quorum after it.
 */
final class MembershipPlanner {

  /**
   * Lag in entries up to which a learner becomes a voter. The commit of the change itself still
   * waits for the remaining entries.
   */
  private static final long CAUGHT_UP_ENTRIES = 64;

  private final RaftSettings settings;
  private final RaftLog log;

  /**
   * Creates a planner.
   *
   * @param settings settings of the replica
   * @param log log of the replica
   */
  MembershipPlanner(RaftSettings settings, RaftLog log) {
    this.settings = settings;
    this.log = log;
  }

  /**
   * Returns whether a replica that sent a join request becomes a learner.
   *
   * @param identity identity of the replica
   * @param replacement replacement in progress, if any
   * @return whether the replica is to receive the log
   */
  boolean acceptsLearner(String identity, Optional<Replacement> replacement) {
    String vm = ReplicaId.vmOf(identity);
    boolean retired = log.membership().retiredVms().contains(vm);
    boolean requested = replacement.filter(next -> next.newVm().equals(vm)).isPresent();
    return settings.mayVote().test(vm)
        && !log.membership().voters().contains(identity)
        && (!retired || requested);
  }

  /**
   * Returns the next membership, if a change is due.
   *
   * @param leader state of the leader
   * @param replacement replacement in progress, if any
   * @param nowMs monotonic time
   * @return the next membership
   */
  Optional<Membership> next(LeaderState leader, Optional<Replacement> replacement, long nowMs) {
    Membership current = log.membership();
    return removeOldIdentity(current)
        .or(() -> replacement.flatMap(request -> retire(current, request)))
        .or(() -> removeSilent(current, leader, nowMs))
        .filter(next -> hasActiveQuorum(next, leader, nowMs))
        .or(() -> promote(current, leader, nowMs));
  }

  /** Removes the older voter of a VM with two voters, whose disk was replaced. */
  private static Optional<Membership> removeOldIdentity(Membership current) {
    for (String voter : current.voters()) {
      List<String> sameVm = current.votersOf(ReplicaId.vmOf(voter));
      if (sameVm.size() > 1 && sameVm.get(0).equals(voter)) {
        return Optional.of(current.withoutVoter(voter));
      }
    }
    return Optional.empty();
  }

  private static Optional<Membership> retire(Membership current, Replacement request) {
    List<String> old = current.votersOf(request.oldVm());
    if (old.isEmpty() || current.votersOf(request.newVm()).isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(current.withoutVoter(old.get(0)).withRetired(request.oldVm()));
  }

  /** Removes a silent voter, which only enlarges the quorum, down to the voter removal floor. */
  private Optional<Membership> removeSilent(Membership current, LeaderState leader, long nowMs) {
    if (settings.voterRemovalFloor() == 0
        || current.voters().size() <= settings.voterRemovalFloor()) {
      return Optional.empty();
    }
    return current.voters().stream()
        .filter(voter -> leader.isSilent(voter, nowMs))
        .map(current::withoutVoter)
        .findFirst();
  }

  private Optional<Membership> promote(Membership current, LeaderState leader, long nowMs) {
    return leader.learners().stream()
        .filter(learner -> leader.isActive(learner, nowMs))
        .filter(
            learner ->
                leader.follower(learner).orElseThrow().matchIndex() + CAUGHT_UP_ENTRIES
                    >= log.lastIndex())
        .map(current::withVoter)
        .filter(next -> hasActiveQuorum(next, leader, nowMs))
        .findFirst();
  }

  /**
   * Returns whether a quorum of the next membership is active. A change that cannot be committed
   * would block every later change.
   */
  private static boolean hasActiveQuorum(Membership next, LeaderState leader, long nowMs) {
    long active = next.voters().stream().filter(voter -> leader.isActive(voter, nowMs)).count();
    return active >= next.quorum();
  }

  /**
   * Request of an operator to replace a voter by another VM.
   *
   * @param oldVm VM to retire
   * @param newVm VM of the new voter
   */
  record Replacement(String oldVm, String newVm) {

    /**
     * Returns whether the replacement is complete.
     *
     * @param membership the membership
     * @return whether the new VM votes and the old one does not
     */
    boolean isDone(Membership membership) {
      return membership.votersOf(oldVm).isEmpty() && !membership.votersOf(newVm).isEmpty();
    }
  }
}
