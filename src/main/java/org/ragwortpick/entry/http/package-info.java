/** Caller API over HTTP. */
package org.ragwortpick.entry.http;
