package org.ragwortpick.ledger;

/** Reason why an operation on the execution records returned no result. */
public sealed interface LedgerError {

  /**
   * Describes the error to callers.
   *
   * @return message that names the remedy
   */
  String message();

  /** No leader replied within the timeout; the operation may or may not have taken effect. */
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

  /** The retention time of the record of this key has expired. */
  record KeyExpired() implements LedgerError {
    @Override
    public String message() {
      return "the record of this key has expired; check whether the call ran, then use a new key";
    }
  }

  /** The attempt is not the holder of the record. */
  record NotHolder() implements LedgerError {
    @Override
    public String message() {
      return "another attempt holds this record; ask for the status with the same key";
    }
  }
}
