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
 * and its time only moves forward. Not safe for use by several threads.
 */
final class ExecutionTable {

  /** Time for which a full record is kept after its last change. */
  static final long RECORD_RETENTION_MS = 24L * 60 * 60 * 1000;

  /** Most changes of one sweep, so that a sweep delays the commands behind it by little. */
  static final int MAX_CHANGES_PER_SWEEP = 1_000;

  /** Largest assumed difference between the wall clocks of control VMs; usual is 0.1 s or less. */
  private static final long MAX_CLOCK_DIFFERENCE_MS = 5_000;

  private static final String ABANDON_BEFORE_BEGIN = "ABANDON_BEFORE_BEGIN";
  private static final String BEGIN = "BEGIN";
  private static final String FINISH_PREFIX = "FINISH_";
  private static final String LEASE_EXPIRED = "LEASE_EXPIRED";
  private static final String RETENTION_EXPIRED = "RETENTION_EXPIRED";

  private final StateChart chart = StateChart.load("execution-record.json");

  /** Records in the order of their last change, which is the order of their retention end. */
  private final Map<ExecutionKey, StoredExecution> records = new LinkedHashMap<>();

  private final DroppedKeys droppedKeys = new DroppedKeys();
  private final NamePool names = new NamePool();
  private final TreeSet<LeaseEnd> leaseEnds = new TreeSet<>();
  private long timeMs;
  private SteadyTime steadyTime = SteadyTime.START;

  /**
   * Moves the time of the table forward. An earlier time, as stamped by a leader whose clock is
   * behind that of the last leader, has no effect.
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
   * Decides on a request to begin. A resend under the same attempt id gets the same decision while
   * the attempt is pending.
   *
   * @param request the request
   * @return the decision, or the reason for a refusal
   */
  Either<LedgerError, BeginResult> begin(BeginRequest request) {
    if (isDropped(request.key())) {
      return Either.left(new LedgerError.KeyExpired());
    }
    StoredExecution stored = records.get(request.key());
    if (stored != null) {
      ExecutionRecord existing = stored.record();
      if (!isSameRequest(existing, request)) {
        return Either.left(new LedgerError.KeyReused());
      }
      boolean own = existing.attemptId().equals(request.attemptId());
      if (own || !mayBeginAfter(existing, request)) {
        boolean granted = own && existing.state() == ExecutionState.PENDING;
        return Either.right(new BeginResult(granted, existing, ageMs(stored)));
      }
    }
    if (request.keyCreatedAtMs().isPresent()
        && timeMs - request.keyCreatedAtMs().getAsLong() >= RECORD_RETENTION_MS) {
      return Either.left(new LedgerError.KeyExpired());
    }
    ExecutionRecord begun =
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
    store(new StoredExecution(begun, timeMs + request.leaseMs(), false, steadyTime.steadyMs()));
    return Either.right(new BeginResult(true, begun, 0));
  }

  /**
   * Time since the last change at least: by steady time, or by wall clocks less their difference.
   */
  private long ageMs(StoredExecution stored) {
    long steadyAgeMs = steadyTime.steadyMs() - stored.steadyAtMs();
    long wallAgeMs = timeMs - stored.record().updatedAtMs();
    return Math.max(steadyAgeMs, wallAgeMs - MAX_CLOCK_DIFFERENCE_MS);
  }

  /** Tells whether the record of an earlier attempt, seen by the holder, allows a new attempt. */
  private static boolean mayBeginAfter(ExecutionRecord existing, BeginRequest request) {
    return existing.state() == ExecutionState.NOT_RUN
        && request.afterAttemptId().equals(Optional.of(existing.attemptId()));
  }

  /** A record created by an abandon before its begin has no digest and fits any request. */
  private static boolean isSameRequest(ExecutionRecord existing, BeginRequest request) {
    return existing.bodyDigest().isEmpty()
        || existing.bodyDigest().equals(request.bodyDigest())
            && existing.service().equals(request.service());
  }

  /**
   * Records the outcome of an attempt. A report that contradicts the record leaves it unchanged.
   *
   * @param request the outcome
   * @return the record after the report, or the reason for a refusal
   */
  Either<LedgerError, ExecutionRecord> finish(FinishRequest request) {
    if (isDropped(request.key())) {
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
            existing, target.get(), done ? request.status() : 0, done ? request.answer() : "");
    store(new StoredExecution(finished, 0, !abandon, steadyTime.steadyMs()));
    return Either.right(finished);
  }

  private Either<LedgerError, ExecutionRecord> abandonBeforeBegin(
      FinishRequest request, StoredExecution stored) {
    Optional<ExecutionState> target = next(stateOf(stored), ABANDON_BEFORE_BEGIN);
    if (request.state() != ExecutionState.NOT_RUN || target.isEmpty()) {
      return Either.left(new LedgerError.NotHolder());
    }
    // Takes the place of the NOT_RUN of an earlier attempt, so that a begin of this attempt that
    // names the earlier one is no longer granted.
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
   * Reads a record.
   *
   * @param key identity of the call
   * @return the record; an EXPIRED one without content if only the digest is left; empty if the key
   *     is not known
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
   * Turns PENDING records whose lease ended into UNKNOWN and drops what its retention time has
   * passed, up to a bounded number of changes.
   *
   * @return number of changes
   */
  int sweep() {
    int changes = 0;
    while (changes < MAX_CHANGES_PER_SWEEP && expireOne()) {
      changes++;
    }
    return changes;
  }

  private boolean expireOne() {
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
    if (droppedKeys.isDue(timeMs)) {
      droppedKeys.forgetOldest();
      return true;
    }
    return false;
  }

  /**
   * Tells whether a sweep at the given time would change anything.
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
    return droppedKeys.isDue(nowMs);
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

  /** Tells whether only the digest of a key is left, after dropping a record that is due. */
  private boolean isDropped(ExecutionKey key) {
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
      ExecutionRecord record, ExecutionState state, int status, String answer) {
    return new ExecutionRecord(
        record.key(),
        state,
        record.service(),
        record.bodyDigest(),
        record.holderVm(),
        record.attemptId(),
        status,
        answer,
        timeMs);
  }

  /**
   * Stores a record as the last changed one.
   *
   * @param changed the record
   * @throws IllegalStateException if the change would contradict a DONE record
   */
  void store(StoredExecution changed) {
    ExecutionKey key = changed.record().key();
    StoredExecution before = records.remove(key);
    if (before != null) {
      if (before.record().state() == ExecutionState.DONE) {
        throw new IllegalStateException(
            "a DONE record must not change; check execution-record.json for key " + key);
      }
      leaseEnds.remove(new LeaseEnd(before.leaseEndMs(), key));
    }
    StoredExecution shared = shareNames(changed);
    records.put(shared.record().key(), shared);
    if (changed.record().state() == ExecutionState.PENDING) {
      leaseEnds.add(new LeaseEnd(changed.leaseEndMs(), key));
    }
  }

  private StoredExecution shareNames(StoredExecution stored) {
    ExecutionRecord record = stored.record();
    ExecutionKey key = record.key();
    return new StoredExecution(
        new ExecutionRecord(
            new ExecutionKey(names.share(key.workspace()), key.idempotencyKey()),
            record.state(),
            names.share(record.service()),
            record.bodyDigest(),
            names.share(record.holderVm()),
            record.attemptId(),
            record.status(),
            record.answer(),
            record.updatedAtMs()),
        stored.leaseEndMs(),
        stored.dispatched(),
        stored.steadyAtMs());
  }

  /**
   * Lists the records.
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
