/**
 * What an adapter of a deployment provides: names, encodings and calls of the operators, callers
 * and upstreams of that deployment. Adapters decide nothing and are found by {@link
 * java.util.ServiceLoader}.
 */
package org.ragwortpick.edge;
