package org.ragwortpick.entry.pipeline;

/**
 * Task of one stage.
 *
 * @param stage name of the stage
 * @param service service that runs the stage
 * @param path path of the upstream API
 * @param stream whether the response is a stream of tokens
 * @param idempotent whether the request may be sent more than once
 * @param passThrough whether the response is passed through unchanged, with its status
 * @param prefixHash hash of the prompt prefix; 0 without a prompt
 * @param body writer of the request body
 */
public record StageTask(
    String stage,
    String service,
    String path,
    boolean stream,
    boolean idempotent,
    boolean passThrough,
    long prefixHash,
    Body body) {

  /** Writer of a request body. The request may resume a stream after the tokens received so far. */
  public interface Body {

    /**
     * Writes the body.
     *
     * @param resumeOffset number of tokens received so far
     * @param resumeText text of these tokens
     * @return JSON body
     */
    byte[] write(int resumeOffset, String resumeText);
  }
}
