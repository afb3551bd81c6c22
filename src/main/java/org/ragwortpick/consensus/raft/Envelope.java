package org.ragwortpick.consensus.raft;

/**
 * Message with its sender and receiver.
 *
 * @param from identity of the sender
 * @param to identity of the receiver
 * @param message the message
 */
public record Envelope(String from, String to, Message message) {}
