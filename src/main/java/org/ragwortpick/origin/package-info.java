/** Remembers at which version of their upstreams streams began. */
package org.ragwortpick.origin;
