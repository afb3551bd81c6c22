package org.ragwortpick.policy;

/**
 * Request for admission.
 *
 * @param workspace workspace of the caller
 * @param deadlineAtMs deadline on the local monotonic clock in milliseconds
 */
public record AdmissionRequest(String workspace, long deadlineAtMs) {}
