package org.ragwortpick.consensus.raft;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the next membership change of a leader. Each change adds or removes one voter, so that
 * any quorum before it shares a replica with any quorum after it.
 */
final class MembershipSteps {

  /** A learner this close to the end of the log is added; the change itself waits for the rest. */
  private static final long CAUGHT_UP_ENTRIES = 64;

  private final RaftSettings settings;
  private final RaftLog log;

  /**
   * Creates the choice of membership changes.
   *
   * @param settings settings of the replica
   * @param log log of the replica
   */
  MembershipSteps(RaftSettings settings, RaftLog log) {
    this.settings = settings;
    this.log = log;
  }

  /**
   * Returns whether a replica that asks to join is to receive the log.
   *
   * @param identity identity of a replica
   * @param replacement request of an operator, if there is one
   * @return whether it becomes a learner
   */
  boolean accepts(String identity, Optional<Replacement> replacement) {
    String vm = ReplicaId.vmOf(identity);
    boolean retired = log.membership().retiredVms().contains(vm);
    boolean requested = replacement.filter(next -> next.newVm().equals(vm)).isPresent();
    return settings.mayVote().test(vm)
        && !log.membership().voters().contains(identity)
        && (!retired || requested);
  }

  /**
   * Returns the next membership, if there is a change to make now.
   *
   * @param leader leader of the term
   * @param replacement request of an operator, if there is one
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

  /** A VM with two voters got a new disk: the older identity is removed. */
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

  /** A lost voter beyond those that must be kept only makes the quorum larger. */
  private Optional<Membership> removeSilent(Membership current, LeaderState leader, long nowMs) {
    if (settings.keptVoters() == 0 || current.voters().size() <= settings.keptVoters()) {
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

  /** A change that could not be committed at once would block every later change. */
  private static boolean hasActiveQuorum(Membership next, LeaderState leader, long nowMs) {
    long active = next.voters().stream().filter(voter -> leader.isActive(voter, nowMs)).count();
    return active >= next.quorum();
  }

  /**
   * Request of an operator to move a voter to another VM.
   *
   * @param oldVm VM to retire
   * @param newVm VM that takes its place
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
