package org.ragwortpick.batch;

/**
 * Result of an earlier stage that a stage needs as input.
 *
 * @param service service whose upstream holds the result
 * @param handle handle of the result
 * @param exclusive whether no other stage needs the result, so that the collector releases it once
 *     fetched
 */
public record StageInput(String service, String handle, boolean exclusive) {}
