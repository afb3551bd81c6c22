/** Leases on the requests that upstreams can run in cold start. */
package org.ragwortpick.sync.allowance;
