/**
 * Interface of protocol adapters. An adapter defines the names, encodings and calls that the
 * operators, callers and upstreams of one deployment use. Adapters translate only and make no
 * decisions; they are loaded with {@link java.util.ServiceLoader}.
 */
package org.ragwortpick.edge;
