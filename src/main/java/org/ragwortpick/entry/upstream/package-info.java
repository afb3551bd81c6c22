/** Calls to upstreams with progress timeouts. */
package org.ragwortpick.entry.upstream;
