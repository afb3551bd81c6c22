package org.ragwortpick.consensus.raft;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** State that a replica holds while it leads one term. */
final class LeaderState {

  /** Learners that neither ask to join nor respond are forgotten after this many timeouts. */
  private static final int LEARNER_EXPIRY_TIMEOUTS = 3;

  private final RaftSettings settings;
  private final long term;
  private final RaftLog log;
  private final Outbox outbox;
  private final long electedAtMs;
  private final long firstIndex;
  private final Map<String, FollowerProgress> followers = new TreeMap<>();
  private final Map<String, Long> learners = new TreeMap<>();
  private long nextHeartbeatMs;

  /**
   * Creates the state of a leader that has just been elected.
   *
   * @param settings settings of the replica
   * @param term term
   * @param log log of the replica
   * @param outbox outputs of the replica
   * @param nowMs monotonic time
   */
  LeaderState(RaftSettings settings, long term, RaftLog log, Outbox outbox, long nowMs) {
    this.settings = settings;
    this.term = term;
    this.log = log;
    this.outbox = outbox;
    this.electedAtMs = nowMs;
    this.firstIndex = log.lastIndex() + 1;
    this.nextHeartbeatMs = nowMs;
  }

  /**
   * Returns the index of the first entry of the term of this leader.
   *
   * @return index
   */
  long firstIndex() {
    return firstIndex;
  }

  /**
   * Returns the learners.
   *
   * @return identities
   */
  Collection<String> learners() {
    return List.copyOf(learners.keySet());
  }

  /**
   * Returns the progress of another replica.
   *
   * @param identity identity of a replica
   * @return progress, if the replica is followed
   */
  Optional<FollowerProgress> follower(String identity) {
    return Optional.ofNullable(followers.get(identity));
  }

  /**
   * Adapts the set of followers to the membership in the log.
   *
   * @param nowMs monotonic time
   */
  void followMembership(long nowMs) {
    List<String> voters = log.membership().voters();
    learners.keySet().removeAll(voters);
    followers.keySet().removeIf(id -> !voters.contains(id) && !learners.containsKey(id));
    voters.forEach(voter -> follow(voter, nowMs));
  }

  /**
   * Accepts a learner, which replaces other learners of its VM.
   *
   * @param identity identity of a replica
   * @param nowMs monotonic time
   */
  void join(String identity, long nowMs) {
    String vm = ReplicaId.vmOf(identity);
    boolean replaced =
        learners
            .keySet()
            .removeIf(other -> !other.equals(identity) && ReplicaId.vmOf(other).equals(vm));
    learners.put(identity, nowMs);
    follow(identity, nowMs);
    if (replaced) {
      followMembership(nowMs);
    }
  }

  /**
   * Sends heartbeats that are due and forgets silent learners.
   *
   * @param commitIndex commit index of the leader
   * @param nowMs monotonic time
   */
  void tick(long commitIndex, long nowMs) {
    long expiryMs = LEARNER_EXPIRY_TIMEOUTS * settings.electionMaxMs();
    if (learners
        .entrySet()
        .removeIf(
            learner ->
                nowMs - learner.getValue() > expiryMs
                    && nowMs - followers.get(learner.getKey()).lastResponseMs() > expiryMs)) {
      followMembership(nowMs);
    }
    if (nowMs >= nextHeartbeatMs) {
      nextHeartbeatMs = nowMs + settings.heartbeatMs();
      followers.values().forEach(follower -> follower.heartbeat(commitIndex, nowMs));
    }
  }

  /**
   * Sends new entries to all other replicas.
   *
   * @param commitIndex commit index of the leader
   * @param nowMs monotonic time
   */
  void replicate(long commitIndex, long nowMs) {
    followers.values().forEach(follower -> follower.replicate(commitIndex, nowMs));
  }

  /**
   * Tells all followers the commit index at once.
   *
   * @param commitIndex commit index of the leader
   * @param nowMs monotonic time
   */
  void announceCommit(long commitIndex, long nowMs) {
    followers.values().forEach(follower -> follower.heartbeat(commitIndex, nowMs));
  }

  /**
   * Returns the highest index that is on the disks of a quorum.
   *
   * @param ownDurableIndex highest index on the disk of the leader
   * @return index
   */
  long quorumIndex(long ownDurableIndex) {
    return log.membership()
        .quorumValue(
            voter ->
                voter.equals(settings.identity())
                    ? ownDurableIndex
                    : follower(voter).map(FollowerProgress::matchIndex).orElse(0L));
  }

  /**
   * Returns the send time of the latest round that a quorum acknowledged.
   *
   * @param nowMs monotonic time
   * @return monotonic time; {@link Long#MIN_VALUE} if there is none
   */
  long confirmedAtMs(long nowMs) {
    return log.membership()
        .quorumValue(
            voter ->
                voter.equals(settings.identity())
                    ? nowMs
                    : follower(voter)
                        .map(FollowerProgress::acknowledgedSentAtMs)
                        .orElse(Long.MIN_VALUE));
  }

  /**
   * Returns whether no quorum responded for the highest election timeout.
   *
   * @param nowMs monotonic time
   * @return whether to step down
   */
  boolean hasLostQuorum(long nowMs) {
    return nowMs - Math.max(electedAtMs, confirmedAtMs(nowMs)) > settings.electionMaxMs();
  }

  /**
   * Tells whether a voter was silent for the voter timeout.
   *
   * @param identity identity of the replica
   * @param nowMs monotonic time
   * @return whether it was
   */
  boolean isSilent(String identity, long nowMs) {
    return follower(identity)
        .filter(progress -> nowMs - progress.lastResponseMs() > settings.voterTimeoutMs())
        .isPresent();
  }

  /**
   * Tells whether a replica responded recently.
   *
   * @param identity identity of the replica
   * @param nowMs monotonic time
   * @return whether it did
   */
  boolean isActive(String identity, long nowMs) {
    return identity.equals(settings.identity())
        || follower(identity).filter(progress -> progress.isActive(nowMs)).isPresent();
  }

  private void follow(String identity, long nowMs) {
    if (!identity.equals(settings.identity())) {
      followers.computeIfAbsent(
          identity, id -> new FollowerProgress(id, settings, term, log, outbox, nowMs));
    }
  }
}
