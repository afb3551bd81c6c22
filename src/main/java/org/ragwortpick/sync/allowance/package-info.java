/** Leases on the requests that upstreams in cold start bear. */
package org.ragwortpick.sync.allowance;
