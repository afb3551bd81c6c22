/** Selection of upstreams by load and by cached prompt prefixes. */
package org.ragwortpick.policy.select;
