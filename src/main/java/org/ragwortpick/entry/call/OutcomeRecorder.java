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

/** Commits the outcome of an attempt and repeats the report until the ledger has decided. */
final class OutcomeRecorder {

  private static final Logger LOG = Logger.getLogger(OutcomeRecorder.class);
  private static final long RETRY_MS = 50;

  private final ExecutionLedger ledger;
  private final RequestContext request;
  private final EntryDependencies dependencies;
  private final long giveUpAtMs;

  /**
   * Creates a recorder.
   *
   * @param ledger execution records
   * @param request the request
   * @param dependencies what all requests share
   * @param giveUpAtMs time on the monotonic clock in milliseconds at which reports end
   */
  OutcomeRecorder(
      ExecutionLedger ledger,
      RequestContext request,
      EntryDependencies dependencies,
      long giveUpAtMs) {
    this.ledger = ledger;
    this.request = request;
    this.dependencies = dependencies;
    this.giveUpAtMs = giveUpAtMs;
  }

  /**
   * Reports an outcome.
   *
   * @param report the outcome
   * @param decided receiver of the decision; {@link LedgerError.Unreachable} after the last report
   */
  void record(FinishRequest report, Consumer<Either<LedgerError, ExecutionRecord>> decided) {
    Span span = dependencies.tracer().startHop(request.span(), "finish");
    ledger
        .finish(report, dependencies.settings().ledgerTimeoutMs())
        .exceptionally(failure -> Either.left(new LedgerError.Unreachable()))
        .thenAccept(
            result -> {
              span.end();
              request.serial().execute(() -> handle(report, result, decided));
            });
  }

  private void handle(
      FinishRequest report,
      Either<LedgerError, ExecutionRecord> result,
      Consumer<Either<LedgerError, ExecutionRecord>> decided) {
    boolean unreachable = result.isLeft() && result.getLeft() instanceof LedgerError.Unreachable;
    if (!unreachable) {
      decided.accept(result);
    } else if (dependencies.clock().millis() < giveUpAtMs) {
      dependencies
          .timers()
          .schedule(RETRY_MS, () -> request.serial().execute(() -> record(report, decided)));
    } else {
      LOG.warnf(
          "outcome %s of attempt %s could not be recorded; its record becomes UNKNOWN",
          report.state(), report.attemptId());
      decided.accept(result);
    }
  }
}
