/** Replicated log: election, durable log, snapshots and membership changes. */
package org.ragwortpick.consensus;
