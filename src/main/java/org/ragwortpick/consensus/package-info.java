/** Replicated logs: elections, durable log files, snapshots and membership changes. */
package org.ragwortpick.consensus;
