/** Polling protocol over gRPC. */
package org.ragwortpick.sync.rpc;
