/**
 * Routes of transparently forwarded requests: model, validation and matching. Free of I/O.
 *
 * <p>A routing configuration carries a number that its operators choose; the highest number wins.
 */
package org.ragwortpick.routing;
