/**
 * Keeps requests with a prompt part that ends upstreams away from them.
 *
 * <p>Upstreams that end during responses to requests with the same part are evidence against it;
 * complete responses clear it. All VMs share the evidence and draw the same conclusions from it.
 */
package org.ragwortpick.policy.quarantine;
