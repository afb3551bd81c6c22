package org.ragwortpick.forward;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Forwarded requests without a complete response. Confined to the I/O thread. */
public final class RunsInFlight {

  private final Set<ForwardRun> runs = new LinkedHashSet<>();

  /** Creates an instance without requests. */
  public RunsInFlight() {}

  /**
   * Adds a request that begins.
   *
   * @param run the request
   */
  void add(ForwardRun run) {
    runs.add(run);
  }

  /**
   * Removes a request that has ended; no effect if it never began.
   *
   * @param run the request
   */
  void remove(ForwardRun run) {
    runs.remove(run);
  }

  /**
   * Ends all requests, also in the middle of their responses, because the process ends.
   *
   * @return number of requests that were cut off
   */
  public int cutOffAtStop() {
    List<ForwardRun> cutOff = List.copyOf(runs);
    cutOff.forEach(ForwardRun::cutOffAtStop);
    return cutOff.size();
  }

  /**
   * Answers all requests whose response has not started, because the process ends.
   *
   * @return number of requests that were answered
   */
  public int answerAtStop() {
    List<ForwardRun> unanswered = runs.stream().filter(run -> !run.isResponseStarted()).toList();
    unanswered.forEach(ForwardRun::onStop);
    return unanswered.size();
  }
}
