package org.ragwortpick.forward;

import io.undertow.util.HttpString;
import java.util.Set;

/**
 * Names of the headers of forwarded requests and their responses. A deployment sets them to the
 * names that its callers and upstreams use.
 *
 * @param requestId id of one attempt of a caller; forwarded, and echoed by the upstream
 * @param deadlineMs time in milliseconds for which the caller waits
 * @param key key of the workspace of the caller; never forwarded
 * @param workspace name of the workspace; set by this system only
 * @param expectedUpstream id of the upstream that may run the request
 * @param notExecuted present in a response if the upstream did not run the request
 * @param load running requests, waiting requests and slots of the responding upstream
 * @param leaving 1 in all responses of an upstream that is leaving
 * @param limit requests a second that the responding upstream takes from all VMs together
 * @param prefixes parts of the prompt as id and number of tokens, the request's own part last
 * @param tokenUsage tokens of the prompt and maximum of output tokens
 * @param pieceCount number of pieces of each stage
 * @param pieceKey key of the pieces of stages without inputs, passed to their upstreams unchanged
 * @param inputs handles of the results of the last stages; set by this system only
 * @param resumes id of the request that brought the first event of the stream that a request takes
 *     up
 * @param lastEventId id of the last event that the caller of a broken stream has received
 * @param relayed name of the VM that relays the request; set by this system only
 * @param reserved headers of callers that are never forwarded
 */
public record RoutingHeaders(
    HttpString requestId,
    HttpString deadlineMs,
    HttpString key,
    HttpString workspace,
    HttpString expectedUpstream,
    HttpString notExecuted,
    HttpString load,
    HttpString leaving,
    HttpString limit,
    HttpString prefixes,
    HttpString tokenUsage,
    HttpString pieceCount,
    HttpString pieceKey,
    HttpString inputs,
    HttpString resumes,
    HttpString lastEventId,
    HttpString relayed,
    Set<HttpString> reserved) {

  /** Copies the names. */
  public RoutingHeaders {
    reserved = Set.copyOf(reserved);
  }
}
