/** Policies for routing, limits, retries and admission, without I/O. */
package org.ragwortpick.policy;
