/** Simulated upstreams (stand-ins) for demonstrations and tests. */
package org.ragwortpick.standin;
