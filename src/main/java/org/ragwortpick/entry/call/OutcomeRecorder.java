package org.ragwortpick.entry.call;

import io.opentelemetry.api.trace.Span;
import io.vavr.control.Either;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.ragwortpick.entry.EntryDependencies;
import org.ragwortpick.entry.RequestContext;
import org.ragwortpick.ledger.ExecutionLedger;
import org.ragwortpick.ledger.ExecutionRecord;
import org.ragwortpick.ledger.FinishRequest;
import org.ragwortpick.ledger.LedgerError;

/** Reports the outcome of an attempt to the ledger and retries until the ledger has decided. */
final class OutcomeRecorder {

  private static final Logger LOG = Logger.getLogger(OutcomeRecorder.class);
  private static final long RETRY_INTERVAL_MS = 50;

  private final ExecutionLedger ledger;
  private final RequestContext request;
  private final EntryDependencies dependencies;
  private final long retryUntilMs;

  /**
   * Creates a recorder.
   *
   * @param ledger ledger of the execution records
   * @param request the request
   * @param dependencies components that all requests share
   * @param retryUntilMs time on the monotonic clock in milliseconds after which reports are not
   *     retried
   */
  OutcomeRecorder(
      ExecutionLedger ledger,
      RequestContext request,
      EntryDependencies dependencies,
      long retryUntilMs) {
    this.ledger = ledger;
    this.request = request;
    this.dependencies = dependencies;
    this.retryUntilMs = retryUntilMs;
  }

  /**
   * Reports an outcome.
   *
   * @param report the outcome
   * @param onDecision receiver of the decision, or of {@link LedgerError.Unreachable} if the last
   *     report failed
   */
  void record(FinishRequest report, Consumer<Either<LedgerError, ExecutionRecord>> onDecision) {
    Span span = dependencies.tracer().startHop(request.span(), "finish");
    ledger
        .finish(report, dependencies.settings().ledgerTimeoutMs())
        .exceptionally(failure -> Either.left(new LedgerError.Unreachable()))
        .thenAccept(
            result -> {
              span.end();
              request.serialExecutor().execute(() -> handle(report, result, onDecision));
            });
  }

  private void handle(
      FinishRequest report,
      Either<LedgerError, ExecutionRecord> result,
      Consumer<Either<LedgerError, ExecutionRecord>> onDecision) {
    boolean isUnreachable = result.isLeft() && result.getLeft() instanceof LedgerError.Unreachable;
    if (!isUnreachable) {
      onDecision.accept(result);
    } else if (dependencies.clock().millis() < retryUntilMs) {
      dependencies
          .timers()
          .schedule(
              RETRY_INTERVAL_MS,
              () -> request.serialExecutor().execute(() -> record(report, onDecision)));
    } else {
      LOG.warnf(
          "outcome %s of attempt %s could not be recorded: the ledger stayed unreachable; its"
              + " record becomes UNKNOWN",
          report.state(), report.attemptId());
      onDecision.accept(result);
    }
  }
}
