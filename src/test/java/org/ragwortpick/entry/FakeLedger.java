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

/** Execution records in memory that can be made unreachable. */
public final class FakeLedger implements ExecutionLedger {

  private final Map<ExecutionKey, ExecutionRecord> records = new HashMap<>();
  private final Clock clock;
  private int beginAnswersToLose;
  private boolean reachable = true;

  public FakeLedger(Clock clock) {
    this.clock = clock;
  }

  /** Loses the answers of the next begin requests after they took effect. */
  public synchronized void loseBeginAnswers(int count) {
    beginAnswersToLose = count;
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
    ExecutionRecord known = records.get(request.key());
    boolean own = known != null && known.attemptId().equals(request.attemptId());
    boolean free = known == null || mayBeginAgain(known, request) && !own;
    if (known != null && !free && !known.bodyDigest().equals(request.bodyDigest())) {
      return CompletableFuture.completedFuture(Either.left(new LedgerError.KeyReused()));
    }
    if (free) {
      known =
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
      records.put(request.key(), known);
    }
    boolean granted = known.state() == ExecutionState.PENDING && (free || own);
    if (beginAnswersToLose > 0) {
      beginAnswersToLose--;
      return unreachable();
    }
    return CompletableFuture.completedFuture(
        Either.right(new BeginResult(granted, known, clock.millis() - known.updatedAtMs())));
  }

  private static boolean mayBeginAgain(ExecutionRecord known, BeginRequest request) {
    return known.state() == ExecutionState.NOT_RUN
        && request.afterAttemptId().filter(known.attemptId()::equals).isPresent();
  }

  @Override
  public synchronized CompletionStage<Either<LedgerError, ExecutionRecord>> finish(
      FinishRequest request, long timeoutMs) {
    if (!reachable) {
      return unreachable();
    }
    ExecutionRecord known = records.get(request.key());
    if (known != null && !known.attemptId().equals(request.attemptId())) {
      return CompletableFuture.completedFuture(Either.left(new LedgerError.NotHolder()));
    }
    ExecutionRecord finished =
        new ExecutionRecord(
            request.key(),
            request.state(),
            known == null ? "" : known.service(),
            known == null ? "" : known.bodyDigest(),
            "",
            request.attemptId(),
            request.status(),
            request.answer(),
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
