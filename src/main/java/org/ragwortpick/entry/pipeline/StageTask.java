package org.ragwortpick.entry.pipeline;

/**
 * Work of one stage.
 *
 * @param stage name of the stage
 * @param service service that runs it
 * @param path path of the upstream API
 * @param stream whether the answer is a stream of tokens
 * @param idempotent whether it may be sent more than once
 * @param opaque whether the answer is passed on as it is, with its status
 * @param prefixHash hash of the prompt prefix; 0 without a prompt
 * @param body body of the request
 */
public record StageTask(
    String stage,
    String service,
    String path,
    boolean stream,
    boolean idempotent,
    boolean opaque,
    long prefixHash,
    Body body) {

  /** Body of a request that may start in the middle of an answer. */
  public interface Body {

    /**
     * Writes the body.
     *
     * @param resumeOffset number of tokens that are known already
     * @param resumeText text of these tokens
     * @return JSON body
     */
    byte[] write(int resumeOffset, String resumeText);
  }
}
