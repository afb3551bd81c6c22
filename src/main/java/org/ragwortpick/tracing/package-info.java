/** Creation and export of spans, and propagation of trace contexts. */
package org.ragwortpick.tracing;
