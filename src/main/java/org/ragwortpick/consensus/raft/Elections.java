package org.ragwortpick.consensus.raft;

import java.util.Optional;

/** Handles elections: starts them, grants votes and counts votes. */
final class Elections {

  private final ReplicaState state;
  private final Ballot ballot = new Ballot();
  private final Runnable onElected;

  /**
   * Creates the handler.
   *
   * @param state shared state of the replica
   * @param onElected called when this replica wins an election
   */
  Elections(ReplicaState state, Runnable onElected) {
    this.state = state;
    this.onElected = onElected;
  }

  /** Starts an election if the election timeout has expired. */
  void tick() {
    if (state.isElectionDue()) {
      if (state.role() == Role.CANDIDATE) {
        state.recordFailedElection();
      }
      state.resetElectionDeadline();
      if (state.isVoter() && state.isStorageAvailable()) {
        startPreVote();
      }
    }
  }

  /**
   * Grants or refuses a vote.
   *
   * @param from identity of the sender
   * @param request the request
   */
  void onVoteRequest(String from, Message.VoteRequest request) {
    boolean leaderIsActive =
        state.role() == Role.LEADER
            || state.sinceLeaderContactMs() < state.settings().electionMinMs();
    if (leaderIsActive) {
      // The leader lease depends on this: a replica that acknowledged a heartbeat grants no vote
      // for the minimum election timeout.
      return;
    }
    if (!state.isStorageAvailable()) {
      // The vote could not be recorded. Following the term of the candidate without a vote would
      // only make this replica deaf to a leader of the current term.
      return;
    }
    boolean upToDate = state.log().isUpToDate(request.lastIndex(), request.lastTerm());
    if (request.preVote()) {
      boolean granted = upToDate && request.term() > state.term();
      long term = granted ? request.term() : state.term();
      state.sendAfterSync(from, new Message.VoteResponse(term, true, granted));
      return;
    }
    if (request.term() > state.term()) {
      state.stepDown(request.term(), Optional.empty());
    }
    boolean voteAvailable = state.votedFor().isEmpty() || state.votedFor().equals(from);
    boolean granted = request.term() == state.term() && voteAvailable && upToDate;
    if (granted && state.votedFor().isEmpty()) {
      state.persist(new HardState(state.term(), from));
      state.resetElectionDeadline();
    }
    state.sendAfterSync(from, new Message.VoteResponse(state.term(), false, granted));
  }

  /**
   * Counts a vote if it was granted for the current election.
   *
   * @param from identity of the sender
   * @param response the response
   */
  void onVoteResponse(String from, Message.VoteResponse response) {
    boolean counts =
        response.preVote()
            ? state.role() == Role.PRE_CANDIDATE && response.term() == state.term() + 1
            : state.role() == Role.CANDIDATE && response.term() == state.term();
    if (response.granted() && counts && state.isStorageAvailable()) {
      ballot.grant(from);
      countVotes();
    }
  }

  /** Counts the vote of this replica for itself, which is valid only once it is durable. */
  void onSynced() {
    if (state.role() == Role.CANDIDATE && state.isHardStateSynced()) {
      ballot.grant(state.identity());
      countVotes();
    }
  }

  private void startPreVote() {
    state.transition("ELECTION_TIMEOUT");
    state.setLeaderId(Optional.empty());
    ballot.reset();
    ballot.grant(state.identity());
    requestVotes(state.term() + 1, true);
    countVotes();
  }

  private void startElection() {
    state.transition("PRE_VOTE_WON");
    // The time that the pre-vote has taken must not be missing from that of the vote.
    state.resetElectionDeadline();
    ballot.reset();
    state.persist(new HardState(state.term() + 1, state.identity()));
    requestVotes(state.term(), false);
  }

  private void requestVotes(long term, boolean preVote) {
    RaftLog log = state.log();
    Message request = new Message.VoteRequest(term, log.lastIndex(), log.lastTerm(), preVote);
    for (String voter : log.membership().voters()) {
      if (!voter.equals(state.identity())) {
        state.sendAfterSync(voter, request);
      }
    }
  }

  private void countVotes() {
    if (!ballot.isWon(state.log().membership())) {
      return;
    }
    if (state.role() == Role.PRE_CANDIDATE) {
      startElection();
    } else if (state.role() == Role.CANDIDATE) {
      state.transition("VOTE_WON");
      onElected.run();
    }
  }
}
