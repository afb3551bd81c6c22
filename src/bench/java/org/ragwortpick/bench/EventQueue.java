package org.ragwortpick.bench;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.PriorityQueue;

/** Runs scheduled actions in simulated time, and is the clock of all policies. */
final class EventQueue extends Clock {

  private static final double EPOCH_START_MS = 1_000_000;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private double nowMs = EPOCH_START_MS;
  private long nextSequence;

  private record Event(double atMs, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(atMs, other.atMs);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  /**
   * Schedules an action. Actions of the same time run in the order in which they were scheduled.
   *
   * @param delayMs delay in milliseconds; a negative delay counts as 0
   * @param action the action
   */
  void schedule(double delayMs, Runnable action) {
    events.add(new Event(nowMs + Math.max(0, delayMs), nextSequence++, action));
  }

  /**
   * Schedules an action that is repeated until the end of the run.
   *
   * @param firstDelayMs delay of the first run in milliseconds
   * @param periodMs period in milliseconds
   * @param action the action
   */
  void schedulePeriodically(double firstDelayMs, double periodMs, Runnable action) {
    schedule(
        firstDelayMs,
        () -> {
          action.run();
          schedulePeriodically(periodMs, periodMs, action);
        });
  }

  /**
   * Runs all actions that are due up to a time.
   *
   * @param untilMs time since the start of the run in milliseconds
   */
  void runUntil(double untilMs) {
    while (!events.isEmpty() && events.peek().atMs <= EPOCH_START_MS + untilMs) {
      Event event = events.poll();
      nowMs = event.atMs;
      event.action.run();
    }
  }

  /**
   * Returns the simulated time, not rounded to whole milliseconds as in {@link #instant}.
   *
   * @return time in milliseconds since the start of the run
   */
  double sinceStartMs() {
    return nowMs - EPOCH_START_MS;
  }

  @Override
  public ZoneId getZone() {
    return ZoneOffset.UTC;
  }

  @Override
  public Clock withZone(ZoneId zone) {
    return this;
  }

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli((long) nowMs);
  }
}
