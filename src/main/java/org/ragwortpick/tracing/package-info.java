/** Spans and propagation of the trace context. */
package org.ragwortpick.tracing;
