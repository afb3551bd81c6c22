/** Load generator: callers that send requests on a fixed schedule and check every response. */
package org.ragwortpick.standin.load;
