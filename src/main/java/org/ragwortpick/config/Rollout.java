package org.ragwortpick.config;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.List;

/**
 * Last order that moves the traffic of one service to another version, and its progress.
 *
 * @param to version to which the traffic moves
 * @param durationMs time in milliseconds within which the move is to be completed
 * @param state state of the move
 * @param elapsedMs running time of the processes since the order in milliseconds
 * @param share largest share of the requests that each VM sends to the new version
 * @param maxViewAgeMs age in milliseconds of the configuration from which a VM sends nothing to the
 *     new version while it is on trial
 * @param order revision at which the order was accepted, which identifies the rollout
 * @param changedAt revision at which the rollout was ordered or ended, whichever was later
 * @param established version to which the last completed rollout moved the traffic; empty if there
 *     was none
 * @param rejected versions that were rolled back since then
 * @param accepted latest accepted orders, oldest first, by which a repeated order is recognised
 */
public record Rollout(
    String to,
    long durationMs,
    State state,
    long elapsedMs,
    double share,
    long maxViewAgeMs,
    long order,
    long changedAt,
    String established,
    List<String> rejected,
    List<Order> accepted) {

  /** Copies the lists. */
  public Rollout {
    rejected = rejected == null ? List.of() : List.copyOf(rejected);
    accepted = accepted == null ? List.of() : List.copyOf(accepted);
  }

  /** State of a rollout. */
  public enum State {
    /** A bounded share of the traffic goes to the new version. */
    RUNNING,
    /** All traffic goes to the new version, and the old upstreams are still there. */
    COMPLETING,
    /** No upstream of another version gets requests. */
    COMPLETED,
    /** No upstream of the new version gets requests. */
    ROLLED_BACK
  }

  /**
   * Content of an order, apart from its service.
   *
   * @param to version to which the traffic moves
   * @param durationMs duration in milliseconds
   */
  public record Order(String to, long durationMs) {}

  /**
   * Returns whether the new version is still on trial.
   *
   * @return false after the end of the rollout
   */
  @JsonIgnore
  public boolean isRunning() {
    return state == State.RUNNING || state == State.COMPLETING;
  }

  /**
   * Returns whether a version may get requests at all.
   *
   * @param version version of an upstream
   * @return whether it is the new version or the old one, as far as the state allows both
   */
  public boolean allows(String version) {
    return switch (state) {
      case COMPLETED -> isNew(version);
      case ROLLED_BACK -> isOld(version);
      default -> isNew(version) || isOld(version);
    };
  }

  /**
   * Returns whether a version is the new one.
   *
   * @param version version of an upstream
   * @return whether the order names it
   */
  public boolean isNew(String version) {
    return to.equals(version);
  }

  private boolean isOld(String version) {
    return !isNew(version)
        && (established.isEmpty() ? !rejected.contains(version) : established.equals(version));
  }

  /**
   * Returns this rollout after some time.
   *
   * @param newElapsedMs running time since the order in milliseconds
   * @param newShare largest share of the requests for the new version
   * @return the rollout in the same state
   */
  public Rollout at(long newElapsedMs, double newShare) {
    return new Rollout(
        to,
        durationMs,
        state,
        newElapsedMs,
        newShare,
        maxViewAgeMs,
        order,
        changedAt,
        established,
        rejected,
        accepted);
  }

  /**
   * Returns this rollout in another state.
   *
   * @param newState the state
   * @param revision revision at which the state is entered
   * @return the rollout
   */
  public Rollout in(State newState, long revision) {
    boolean completes = newState == State.COMPLETED;
    boolean rejects = newState == State.ROLLED_BACK;
    return new Rollout(
        to,
        durationMs,
        newState,
        elapsedMs,
        share,
        maxViewAgeMs,
        order,
        completes || rejects ? revision : changedAt,
        completes ? to : established,
        completes ? List.of() : rejects ? withRejected() : rejected,
        accepted);
  }

  private List<String> withRejected() {
    List<String> versions = new ArrayList<>(rejected);
    versions.add(to);
    return versions;
  }
}
