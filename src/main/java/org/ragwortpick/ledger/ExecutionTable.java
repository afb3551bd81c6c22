package org.ragwortpick.ledger;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.ragwortpick.common.StateChart;

/**
 * Execution records by key, with their transitions and retention. Deterministic: it reads no clock,
 * and its time never decreases. Not thread-safe.
 */
final class ExecutionTable {

  /** Retention time of a full record after its last change. */
  static final long RECORD_RETENTION_MS = 24L * 60 * 60 * 1000;

  /** Limit of the changes of one sweep, which bounds the delay of subsequent commands. */
  static final int MAX_CHANGES_PER_SWEEP = 1_000;

  /** Assumed maximum skew between the wall clocks of control VMs; normally 0.1 s or less. */
  private static final long MAX_WALL_CLOCK_SKEW_MS = 5_000;

  private static final String ABANDON_BEFORE_BEGIN = "ABANDON_BEFORE_BEGIN";
  private static final String BEGIN = "BEGIN";
  private static final String FINISH_PREFIX = "FINISH_";
  private static final String LEASE_EXPIRED = "LEASE_EXPIRED";
  private static final String RETENTION_EXPIRED = "RETENTION_EXPIRED";

  private final StateChart chart = StateChart.load("execution-record.json");

  /** Records in the order of their last change, and thus of the end of their retention. */
  private final Map<ExecutionKey, StoredExecution> records = new LinkedHashMap<>();

  private final DroppedKeys droppedKeys = new DroppedKeys();
  private final NamePool names = new NamePool();
  private final TreeSet<LeaseEnd> leaseEnds = new TreeSet<>();
  private long timeMs;
  private SteadyTime steadyTime = SteadyTime.START;

  /**
   * Advances the time of the table. An earlier time, stamped by a leader whose clock is behind that
   * of the previous leader, has no effect.
   *
   * @param stampedMs time in milliseconds since 1970
   */
  void advanceTo(long stampedMs) {
    timeMs = Math.max(timeMs, stampedMs);
  }

  /**
   * Sets the steady time.
   *
   * @param time the time
   */
  void setSteadyTime(SteadyTime time) {
    steadyTime = time;
  }

  /**
   * Returns the steady time.
   *
   * @return the time
   */
  SteadyTime steadyTime() {
    return steadyTime;
  }

  /**
   * Returns the time of the table.
   *
   * @return time in milliseconds since 1970
   */
  long timeMs() {
    return timeMs;
  }

  /**
   * Handles a begin request. A resend with the same attempt id returns the same decision while the
   * attempt is pending.
   *
   * @param request the request
   * @return the decision, or the error
   */
  Either<LedgerError, BeginResult> begin(BeginRequest request) {
    if (dropIfExpired(request.key())) {
      return Either.left(new LedgerError.KeyExpired());
    }
    StoredExecution stored = records.get(request.key());
    if (stored != null) {
      ExecutionRecord existing = stored.record();
      if (!isSameRequest(existing, request)) {
        return Either.left(new LedgerError.KeyReused());
      }
      boolean isOwnRecord = existing.attemptId().equals(request.attemptId());
      if (isOwnRecord || !mayBeginAfter(existing, request)) {
        boolean granted = isOwnRecord && existing.state() == ExecutionState.PENDING;
        return Either.right(new BeginResult(granted, existing, minAgeMs(stored)));
      }
    }
    if (request.keyCreatedAtMs().isPresent()
        && timeMs - request.keyCreatedAtMs().getAsLong() >= RECORD_RETENTION_MS) {
      return Either.left(new LedgerError.KeyExpired());
    }
    ExecutionRecord pending =
        new ExecutionRecord(
            request.key(),
            next(stateOf(stored), BEGIN).orElseThrow(),
            request.service(),
            request.bodyDigest(),
            request.holderVm(),
            request.attemptId(),
            0,
            "",
            timeMs);
    store(new StoredExecution(pending, timeMs + request.leaseMs(), false, steadyTime.steadyMs()));
    return Either.right(new BeginResult(true, pending, 0));
  }

  /**
   * Returns a lower bound of the time since the last change: the larger of the steady time and the
   * wall clock time less the maximum skew.
   */
  private long minAgeMs(StoredExecution stored) {
    long steadyAgeMs = steadyTime.steadyMs() - stored.steadyAtMs();
    long wallAgeMs = timeMs - stored.record().updatedAtMs();
    return Math.max(steadyAgeMs, wallAgeMs - MAX_WALL_CLOCK_SKEW_MS);
  }

  /** Returns whether the request names the NOT_RUN attempt of the existing record. */
  private static boolean mayBeginAfter(ExecutionRecord existing, BeginRequest request) {
    return existing.state() == ExecutionState.NOT_RUN
        && request.afterAttemptId().equals(Optional.of(existing.attemptId()));
  }

  /**
   * Returns whether a record belongs to the same call as a request. A record that was created by an
   * abandon before its begin has no digest and matches every request.
   */
  private static boolean isSameRequest(ExecutionRecord existing, BeginRequest request) {
    return existing.bodyDigest().isEmpty()
        || existing.bodyDigest().equals(request.bodyDigest())
            && existing.service().equals(request.service());
  }

  /**
   * Handles the outcome of an attempt. An outcome that contradicts the record leaves it unchanged.
   *
   * @param request the outcome
   * @return the record afterwards, or the error
   */
  Either<LedgerError, ExecutionRecord> finish(FinishRequest request) {
    if (dropIfExpired(request.key())) {
      return Either.left(new LedgerError.KeyExpired());
    }
    StoredExecution stored = records.get(request.key());
    if (stored == null || !stored.record().attemptId().equals(request.attemptId())) {
      return abandonBeforeBegin(request, stored);
    }
    ExecutionRecord existing = stored.record();
    boolean abandon = request.state() == ExecutionState.NOT_RUN;
    Optional<ExecutionState> target =
        next(existing.state(), FINISH_PREFIX + request.state().name());
    if (target.isEmpty() || abandon && stored.dispatched()) {
      return Either.right(existing);
    }
    boolean done = target.get() == ExecutionState.DONE;
    ExecutionRecord finished =
        withState(
            existing,
            target.get(),
            done ? request.status() : 0,
            done ? request.responseBody() : "");
    store(new StoredExecution(finished, 0, !abandon, steadyTime.steadyMs()));
    return Either.right(finished);
  }

  private Either<LedgerError, ExecutionRecord> abandonBeforeBegin(
      FinishRequest request, StoredExecution stored) {
    Optional<ExecutionState> target = next(stateOf(stored), ABANDON_BEFORE_BEGIN);
    if (request.state() != ExecutionState.NOT_RUN || target.isEmpty()) {
      return Either.left(new LedgerError.NotHolder());
    }
    // Replaces the NOT_RUN of an earlier attempt, so that a begin of this attempt that names the
    // earlier attempt is no longer granted.
    ExecutionRecord abandoned =
        new ExecutionRecord(
            request.key(),
            target.get(),
            stored == null ? "" : stored.record().service(),
            stored == null ? "" : stored.record().bodyDigest(),
            stored == null ? "" : stored.record().holderVm(),
            request.attemptId(),
            0,
            "",
            timeMs);
    store(new StoredExecution(abandoned, 0, false, steadyTime.steadyMs()));
    return Either.right(abandoned);
  }

  /**
   * Returns a record.
   *
   * @param key identity of the call
   * @return the record; an EXPIRED record without content if only the digest is left; empty if the
   *     key is unknown
   */
  Optional<ExecutionRecord> status(ExecutionKey key) {
    StoredExecution stored = records.get(key);
    if (stored != null) {
      return Optional.of(stored.record());
    }
    return droppedKeys.contains(key)
        ? Optional.of(new ExecutionRecord(key, ExecutionState.EXPIRED, "", "", "", "", 0, "", 0))
        : Optional.empty();
  }

  /**
   * Changes PENDING records with an expired lease to UNKNOWN and drops records and digests after
   * their retention time, up to {@link #MAX_CHANGES_PER_SWEEP} changes.
   *
   * @return number of changes
   */
  int sweep() {
    int changes = 0;
    while (changes < MAX_CHANGES_PER_SWEEP && applyNextExpiry()) {
      changes++;
    }
    return changes;
  }

  private boolean applyNextExpiry() {
    if (!leaseEnds.isEmpty() && leaseEnds.first().endMs() <= timeMs) {
      ExecutionRecord pending = records.get(leaseEnds.first().key()).record();
      ExecutionState target = next(pending.state(), LEASE_EXPIRED).orElseThrow();
      store(
          new StoredExecution(withState(pending, target, 0, ""), 0, false, steadyTime.steadyMs()));
      return true;
    }
    Optional<StoredExecution> oldest = records.values().stream().findFirst();
    if (oldest.isPresent() && isRetentionOver(oldest.get(), timeMs)) {
      return drop(oldest.get());
    }
    if (droppedKeys.isOldestDayExpired(timeMs)) {
      droppedKeys.removeOldestDay();
      return true;
    }
    return false;
  }

  /**
   * Returns whether a sweep at the given time would make a change.
   *
   * @param nowMs time in milliseconds since 1970
   * @return true if a sweep is due
   */
  boolean isSweepDue(long nowMs) {
    if (!leaseEnds.isEmpty() && leaseEnds.first().endMs() <= nowMs) {
      return true;
    }
    Iterator<StoredExecution> oldest = records.values().iterator();
    if (oldest.hasNext() && isRetentionOver(oldest.next(), nowMs)) {
      return true;
    }
    return droppedKeys.isOldestDayExpired(nowMs);
  }

  private boolean isRetentionOver(StoredExecution stored, long nowMs) {
    return nowMs - stored.record().updatedAtMs() >= RECORD_RETENTION_MS
        && next(stored.record().state(), RETENTION_EXPIRED).isPresent();
  }

  private boolean drop(StoredExecution stored) {
    ExecutionKey key = stored.record().key();
    records.remove(key);
    droppedKeys.add(KeyDigest.of(key), timeMs);
    return true;
  }

  /**
   * Drops the record of a key if its retention time is over. Returns whether only the digest of the
   * key is left.
   */
  private boolean dropIfExpired(ExecutionKey key) {
    StoredExecution stored = records.get(key);
    if (stored != null) {
      return isRetentionOver(stored, timeMs) && drop(stored);
    }
    return droppedKeys.contains(key);
  }

  private Optional<ExecutionState> next(ExecutionState state, String event) {
    return chart.next(state.name(), event).map(ExecutionState::valueOf);
  }

  private static ExecutionState stateOf(StoredExecution stored) {
    return stored == null ? ExecutionState.NONE : stored.record().state();
  }

  private ExecutionRecord withState(
      ExecutionRecord record, ExecutionState state, int status, String responseBody) {
    return new ExecutionRecord(
        record.key(),
        state,
        record.service(),
        record.bodyDigest(),
        record.holderVm(),
        record.attemptId(),
        status,
        responseBody,
        timeMs);
  }

  /**
   * Stores a record as the last changed one.
   *
   * @param changed the record
   * @throws IllegalStateException if the stored record is DONE
   */
  void store(StoredExecution changed) {
    ExecutionKey key = changed.record().key();
    StoredExecution previous = records.remove(key);
    if (previous != null) {
      if (previous.record().state() == ExecutionState.DONE) {
        throw new IllegalStateException(
            "the DONE record of " + key + " must not change; check execution-record.json");
      }
      leaseEnds.remove(new LeaseEnd(previous.leaseEndMs(), key));
    }
    StoredExecution interned = internNames(changed);
    records.put(interned.record().key(), interned);
    if (changed.record().state() == ExecutionState.PENDING) {
      leaseEnds.add(new LeaseEnd(changed.leaseEndMs(), key));
    }
  }

  private StoredExecution internNames(StoredExecution stored) {
    ExecutionRecord record = stored.record();
    ExecutionKey key = record.key();
    return new StoredExecution(
        new ExecutionRecord(
            new ExecutionKey(names.intern(key.workspace()), key.idempotencyKey()),
            record.state(),
            names.intern(record.service()),
            record.bodyDigest(),
            names.intern(record.holderVm()),
            record.attemptId(),
            record.status(),
            record.responseBody(),
            record.updatedAtMs()),
        stored.leaseEndMs(),
        stored.dispatched(),
        stored.steadyAtMs());
  }

  /**
   * Returns the full records.
   *
   * @return the records in the order of their last change
   */
  Collection<StoredExecution> records() {
    return records.values();
  }

  /**
   * Returns the keys whose records were dropped.
   *
   * @return the keys
   */
  DroppedKeys droppedKeys() {
    return droppedKeys;
  }

  private record LeaseEnd(long endMs, ExecutionKey key) implements Comparable<LeaseEnd> {
    private static final Comparator<LeaseEnd> ORDER =
        Comparator.comparingLong(LeaseEnd::endMs)
            .thenComparing(end -> end.key().workspace())
            .thenComparing(end -> end.key().idempotencyKey());

    @Override
    public int compareTo(LeaseEnd other) {
      return ORDER.compare(this, other);
    }
  }
}
