/**
 * Routes of transparently forwarded requests: model, validation and matching. Free of I/O.
 *
 * <p>Operators number their routing configurations; the highest number takes effect.
 */
package org.ragwortpick.routing;
