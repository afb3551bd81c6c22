package org.ragwortpick.standin;

/**
 * Event of a prefix cache.
 *
 * @param sequence number that grows by one with each event
 * @param type {@code stored} or {@code evicted}
 * @param prefixHash hash of the prefix
 */
record CacheEvent(long sequence, String type, long prefixHash) {}
