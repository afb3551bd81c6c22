package org.ragwortpick.entry.upstream;

/**
 * Id of one attempt of one stage. Upstreams return it in the headers of every response.
 *
 * @param requestId id of the request, unique over all VMs and restarts
 * @param stage name of the stage
 * @param attempt number of the attempt within the stage, from 1
 */
public record AttemptId(String requestId, String stage, int attempt) {}
