package org.ragwortpick.entry;

/**
 * Cost of one stage of a request, stated in the answer.
 *
 * @param stage name of the stage
 * @param service service that ran it
 * @param attempts attempts that were sent, hedges included
 * @param hedges attempts that were sent because another one was slow
 * @param tokens tokens delivered
 * @param ms duration in milliseconds
 */
public record StageCost(
    String stage, String service, int attempts, int hedges, int tokens, long ms) {}
