/** Execution records that make non-idempotent calls run at most once. */
package org.ragwortpick.ledger;
