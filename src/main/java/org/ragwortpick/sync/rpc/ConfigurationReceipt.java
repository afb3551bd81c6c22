package org.ragwortpick.sync.rpc;

/**
 * Size of a configuration as it was received.
 *
 * @param bytes bytes of the changes, compressed if they came in several parts
 * @param parts number of responses that carried them
 */
record ConfigurationReceipt(int bytes, int parts) {}
