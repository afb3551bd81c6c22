package org.ragwortpick.entry;

import io.vavr.control.Either;
import java.time.Clock;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.ragwortpick.ledger.BeginRequest;
import org.ragwortpick.ledger.BeginResult;
import org.ragwortpick.ledger.ExecutionKey;
import org.ragwortpick.ledger.ExecutionLedger;
import org.ragwortpick.ledger.ExecutionRecord;
import org.ragwortpick.ledger.ExecutionState;
import org.ragwortpick.ledger.FinishRequest;
import org.ragwortpick.ledger.LedgerError;

/** Execution ledger in memory that tests can make unreachable. */
public final class FakeLedger implements ExecutionLedger {

  private final Map<ExecutionKey, ExecutionRecord> records = new HashMap<>();
  private final Clock clock;
  private int beginRepliesToLose;
  private boolean reachable = true;

  public FakeLedger(Clock clock) {
    this.clock = clock;
  }

  /** Drops the replies to the next begin requests, which take effect nevertheless. */
  public synchronized void loseBeginReplies(int count) {
    beginRepliesToLose = count;
  }

  public synchronized void setReachable(boolean value) {
    reachable = value;
  }

  public synchronized ExecutionState state(ExecutionKey key) {
    return records.containsKey(key) ? records.get(key).state() : ExecutionState.NONE;
  }

  @Override
  public synchronized CompletionStage<Either<LedgerError, BeginResult>> begin(
      BeginRequest request, long timeoutMs) {
    if (!reachable) {
      return unreachable();
    }
    ExecutionRecord existing = records.get(request.key());
    boolean isSameAttempt = existing != null && existing.attemptId().equals(request.attemptId());
    boolean mayBegin = existing == null || mayBeginAgain(existing, request) && !isSameAttempt;
    if (existing != null && !mayBegin && !existing.bodyDigest().equals(request.bodyDigest())) {
      return CompletableFuture.completedFuture(Either.left(new LedgerError.KeyReused()));
    }
    if (mayBegin) {
      existing =
          new ExecutionRecord(
              request.key(),
              ExecutionState.PENDING,
              request.service(),
              request.bodyDigest(),
              request.holderVm(),
              request.attemptId(),
              0,
              "",
              clock.millis());
      records.put(request.key(), existing);
    }
    boolean granted = existing.state() == ExecutionState.PENDING && (mayBegin || isSameAttempt);
    if (beginRepliesToLose > 0) {
      beginRepliesToLose--;
      return unreachable();
    }
    return CompletableFuture.completedFuture(
        Either.right(new BeginResult(granted, existing, clock.millis() - existing.updatedAtMs())));
  }

  private static boolean mayBeginAgain(ExecutionRecord existing, BeginRequest request) {
    return existing.state() == ExecutionState.NOT_RUN
        && request.afterAttemptId().filter(existing.attemptId()::equals).isPresent();
  }

  @Override
  public synchronized CompletionStage<Either<LedgerError, ExecutionRecord>> finish(
      FinishRequest request, long timeoutMs) {
    if (!reachable) {
      return unreachable();
    }
    ExecutionRecord existing = records.get(request.key());
    if (existing != null && !existing.attemptId().equals(request.attemptId())) {
      return CompletableFuture.completedFuture(Either.left(new LedgerError.NotHolder()));
    }
    ExecutionRecord finished =
        new ExecutionRecord(
            request.key(),
            request.state(),
            existing == null ? "" : existing.service(),
            existing == null ? "" : existing.bodyDigest(),
            "",
            request.attemptId(),
            request.status(),
            request.responseBody(),
            clock.millis());
    records.put(request.key(), finished);
    return CompletableFuture.completedFuture(Either.right(finished));
  }

  @Override
  public synchronized CompletionStage<Either<LedgerError, Optional<ExecutionRecord>>> status(
      ExecutionKey key, long timeoutMs) {
    return reachable
        ? CompletableFuture.completedFuture(Either.right(Optional.ofNullable(records.get(key))))
        : unreachable();
  }

  private static <T> CompletionStage<Either<LedgerError, T>> unreachable() {
    return CompletableFuture.completedFuture(Either.left(new LedgerError.Unreachable()));
  }
}
