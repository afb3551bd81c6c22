package org.ragwortpick.config;

/** Kind of work that the upstreams of a service do. */
public enum ServiceKind {
  /** Model engine that generates a stream of tokens. */
  ENGINE,
  /** Encoder of text or measurements into vectors. */
  ENCODER,
  /** Retriever of documents. */
  RETRIEVER,
  /** Reranker of retrieved documents. */
  RERANKER,
  /** Plain request-response service. */
  PLAIN
}
