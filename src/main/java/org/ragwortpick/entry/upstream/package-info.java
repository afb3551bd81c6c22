/** Client of the upstream API: pooled HTTP connections and progress timeouts. */
package org.ragwortpick.entry.upstream;
