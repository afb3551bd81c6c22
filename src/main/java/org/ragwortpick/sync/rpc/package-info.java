/** Polling exchange over gRPC. */
package org.ragwortpick.sync.rpc;
