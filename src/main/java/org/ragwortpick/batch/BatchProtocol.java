package org.ragwortpick.batch;

import java.util.List;

/** Wire format of the calls to upstreams of stage services. Implementations only translate. */
public interface BatchProtocol {

  /**
   * Returns the path of the POST that requests a batch of pieces.
   *
   * @return the path
   */
  String runPath();

  /**
   * Encodes the body of a call that requests a batch of pieces.
   *
   * @param pieces the pieces
   * @return the body as JSON
   */
  byte[] encodeRun(List<PieceCall> pieces);

  /**
   * Decodes the response to a call that requests a batch of pieces.
   *
   * @param body body of the response
   * @return results in the order of the pieces
   * @throws IllegalArgumentException if the body cannot be decoded
   */
  List<PieceResult> decodeRun(byte[] body);

  /**
   * Returns the path of the POST that releases results.
   *
   * @return the path
   */
  String releasePath();

  /**
   * Encodes the body of a call that releases results.
   *
   * @param handles handles of the results
   * @return the body as JSON
   */
  byte[] encodeRelease(List<String> handles);
}
