/**
 * Transparent forwarding of the requests of a route: reads the request, runs its stages, chooses an
 * upstream and relays the response. The state of all requests is confined to one I/O thread.
 */
package org.ragwortpick.forward;
