/** Caller API of an entry VM over HTTP. */
package org.ragwortpick.entry.http;
