package org.ragwortpick.entry;

/**
 * Cost of one stage of a request, reported in the response.
 *
 * @param stage name of the stage
 * @param service service that ran it
 * @param attempts number of attempts sent, hedges included
 * @param hedges number of attempts sent because an earlier one was slow
 * @param tokens number of tokens delivered
 * @param ms duration in milliseconds
 */
public record StageCost(
    String stage, String service, int attempts, int hedges, int tokens, long ms) {}
