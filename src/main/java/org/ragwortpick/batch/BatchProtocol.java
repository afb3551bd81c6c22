package org.ragwortpick.batch;

import java.util.List;

/** Encoding of calls to upstreams of stage services. Implementations decide nothing. */
public interface BatchProtocol {

  /**
   * Returns the path of a call with pieces.
   *
   * @return path of a POST
   */
  String runPath();

  /**
   * Encodes a call with pieces.
   *
   * @param pieces the pieces
   * @return body, JSON
   */
  byte[] encodeRun(List<PieceCall> pieces);

  /**
   * Decodes the answer to a call with pieces.
   *
   * @param body body of the answer
   * @return results in the order of the pieces
   * @throws IllegalArgumentException if the body is no such answer
   */
  List<PieceResult> decodeRun(byte[] body);

  /**
   * Returns the path of a call that gives up results.
   *
   * @return path of a POST
   */
  String releasePath();

  /**
   * Encodes a call that gives up results.
   *
   * @param handles handles of the results
   * @return body, JSON
   */
  byte[] encodeRelease(List<String> handles);
}
