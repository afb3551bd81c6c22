/** Execution records, which ensure that non-idempotent calls run at most once. */
package org.ragwortpick.ledger;
