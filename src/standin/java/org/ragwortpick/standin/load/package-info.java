/** Load tool: callers that send requests on a fixed schedule and check every answer. */
package org.ragwortpick.standin.load;
