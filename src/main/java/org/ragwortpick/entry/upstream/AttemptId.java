package org.ragwortpick.entry.upstream;

/**
 * Identity of one attempt of one stage. Every answer of an upstream repeats it.
 *
 * @param requestId identity of the request, unique over all VMs and restarts
 * @param stage name of the stage
 * @param attempt number of the attempt within the stage, from 1
 */
public record AttemptId(String requestId, String stage, int attempt) {}
