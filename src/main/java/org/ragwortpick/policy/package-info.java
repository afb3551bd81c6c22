/** Routing, limit, retry and admission decisions, free of input and output. */
package org.ragwortpick.policy;
