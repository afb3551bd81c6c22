package org.ragwortpick.ledger;

/** Reason for which an operation on the execution records gave no result. */
public sealed interface LedgerError {

  /**
   * Message for callers that names the remedy.
   *
   * @return the message
   */
  String message();

  /** No leader answered in time; the operation may or may not have taken effect. */
  record Unreachable() implements LedgerError {
    @Override
    public String message() {
      return "the execution records cannot be reached; ask for the status with the same key";
    }
  }

  /** The key was used before with another body or service. */
  record KeyReused() implements LedgerError {
    @Override
    public String message() {
      return "this idempotency key belongs to another request; choose a new key";
    }
  }

  /** The key is older than the retention time of the records. */
  record KeyExpired() implements LedgerError {
    @Override
    public String message() {
      return "the record of this key has expired; check whether the call ran, then use a new key";
    }
  }

  /** The attempt does not hold the record. */
  record NotHolder() implements LedgerError {
    @Override
    public String message() {
      return "another attempt holds this record; ask for the status with the same key";
    }
  }
}
