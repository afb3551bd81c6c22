/** Transport of the messages of the consensus groups over gRPC. */
package org.ragwortpick.consensus.transport;
