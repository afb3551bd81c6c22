package org.ragwortpick.consensus.raft;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** State of a leader during one term. */
final class LeaderState {

  /**
   * Number of maximum election timeouts after which a learner expires that neither sends join
   * requests nor responds.
   */
  private static final int LEARNER_EXPIRY_TIMEOUTS = 3;

  private final RaftSettings settings;
  private final long term;
  private final RaftLog log;
  private final Outbox outbox;
  private final long electedAtMs;
  private final long firstIndex;
  private final Map<String, FollowerProgress> followers = new TreeMap<>();

  /** Time of the last join request of each learner. */
  private final Map<String, Long> learners = new TreeMap<>();

  private long nextHeartbeatMs;

  /**
   * Creates the state of a newly elected leader.
   *
   * @param settings settings of the replica
   * @param term term of the leader
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
   * Returns the index of the first entry that this leader appended.
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
   * Returns the progress of a voter or learner.
   *
   * @param identity identity of the replica
   * @return progress; empty if the replica is neither
   */
  Optional<FollowerProgress> follower(String identity) {
    return Optional.ofNullable(followers.get(identity));
  }

  /**
   * Updates the set of followers to the latest membership in the log and the learners.
   *
   * @param nowMs monotonic time
   */
  void updateFollowers(long nowMs) {
    List<String> voters = log.membership().voters();
    learners.keySet().removeAll(voters);
    followers.keySet().removeIf(id -> !voters.contains(id) && !learners.containsKey(id));
    voters.forEach(voter -> addFollower(voter, nowMs));
  }

  /**
   * Adds a learner or renews it. It replaces other learners of its VM.
   *
   * @param identity identity of the learner
   * @param nowMs monotonic time
   */
  void addLearner(String identity, long nowMs) {
    String vm = ReplicaId.vmOf(identity);
    boolean replaced =
        learners
            .keySet()
            .removeIf(other -> !other.equals(identity) && ReplicaId.vmOf(other).equals(vm));
    learners.put(identity, nowMs);
    addFollower(identity, nowMs);
    if (replaced) {
      updateFollowers(nowMs);
    }
  }

  /**
   * Sends heartbeats that are due and removes expired learners.
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
      updateFollowers(nowMs);
    }
    if (nowMs >= nextHeartbeatMs) {
      nextHeartbeatMs = nowMs + settings.heartbeatMs();
      followers.values().forEach(follower -> follower.heartbeat(commitIndex, nowMs));
    }
  }

  /**
   * Sends new entries to all voters and learners.
   *
   * @param commitIndex commit index of the leader
   * @param nowMs monotonic time
   */
  void replicate(long commitIndex, long nowMs) {
    followers.values().forEach(follower -> follower.replicate(commitIndex, nowMs));
  }

  /**
   * Sends the commit index to all followers without waiting for the next heartbeat.
   *
   * @param commitIndex commit index of the leader
   * @param nowMs monotonic time
   */
  void announceCommit(long commitIndex, long nowMs) {
    followers.values().forEach(follower -> follower.heartbeat(commitIndex, nowMs));
  }

  /**
   * Returns the highest index that is durable on a quorum.
   *
   * @param ownDurableIndex highest durable index of the leader
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
   * Returns the send time of the latest requests that a quorum acknowledged.
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
   * Returns whether no quorum responded for the maximum election timeout.
   *
   * @param nowMs monotonic time
   * @return whether the leader must step down
   */
  boolean hasLostQuorum(long nowMs) {
    return nowMs - Math.max(electedAtMs, confirmedAtMs(nowMs)) > settings.electionMaxMs();
  }

  /**
   * Returns whether a voter has not responded for longer than the voter timeout.
   *
   * @param identity identity of the voter
   * @param nowMs monotonic time
   * @return whether the voter is silent
   */
  boolean isSilent(String identity, long nowMs) {
    return follower(identity)
        .filter(progress -> nowMs - progress.lastResponseMs() > settings.voterTimeoutMs())
        .isPresent();
  }

  /**
   * Returns whether a replica is this leader or responded within the maximum election timeout.
   *
   * @param identity identity of the replica
   * @param nowMs monotonic time
   * @return whether the replica is active
   */
  boolean isActive(String identity, long nowMs) {
    return identity.equals(settings.identity())
        || follower(identity).filter(progress -> progress.isActive(nowMs)).isPresent();
  }

  private void addFollower(String identity, long nowMs) {
    if (!identity.equals(settings.identity())) {
      followers.computeIfAbsent(
          identity, id -> new FollowerProgress(id, settings, term, log, outbox, nowMs));
    }
  }
}
