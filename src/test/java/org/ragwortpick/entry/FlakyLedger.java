package org.ragwortpick.entry;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.ragwortpick.ledger.BeginRequest;
import org.ragwortpick.ledger.BeginResult;
import org.ragwortpick.ledger.ExecutionKey;
import org.ragwortpick.ledger.ExecutionLedger;
import org.ragwortpick.ledger.ExecutionRecord;
import org.ragwortpick.ledger.FinishRequest;
import org.ragwortpick.ledger.LedgerError;

/** Execution ledger behind a simulated network that delays and loses requests and replies. */
public final class FlakyLedger implements ExecutionLedger {

  private static final int LOSS_PERCENT = 15;

  private final ExecutionLedger ledger;
  private final VirtualTime time;
  private final Random random;

  public FlakyLedger(ExecutionLedger ledger, VirtualTime time, Random random) {
    this.ledger = ledger;
    this.time = time;
    this.random = random;
  }

  @Override
  public CompletionStage<Either<LedgerError, BeginResult>> begin(
      BeginRequest request, long timeoutMs) {
    return exchange(() -> ledger.begin(request, timeoutMs), timeoutMs);
  }

  @Override
  public CompletionStage<Either<LedgerError, ExecutionRecord>> finish(
      FinishRequest request, long timeoutMs) {
    return exchange(() -> ledger.finish(request, timeoutMs), timeoutMs);
  }

  @Override
  public CompletionStage<Either<LedgerError, Optional<ExecutionRecord>>> status(
      ExecutionKey key, long timeoutMs) {
    return exchange(() -> ledger.status(key, timeoutMs), timeoutMs);
  }

  private <T> CompletionStage<Either<LedgerError, T>> exchange(
      Supplier<CompletionStage<Either<LedgerError, T>>> operation, long timeoutMs) {
    CompletableFuture<Either<LedgerError, T>> reply = new CompletableFuture<>();
    time.schedule(timeoutMs, () -> reply.complete(Either.left(new LedgerError.Unreachable())));
    // A request may arrive long after the timeout of its sender.
    long delayMs = drawLoss() ? random.nextInt(2_000) : random.nextInt(10);
    if (!drawLoss()) {
      time.schedule(
          delayMs,
          () ->
              operation
                  .get()
                  .thenAccept(
                      result -> {
                        if (!drawLoss()) {
                          time.schedule(random.nextInt(10), () -> reply.complete(result));
                        }
                      }));
    }
    return reply;
  }

  private boolean drawLoss() {
    return random.nextInt(100) < LOSS_PERCENT;
  }
}
