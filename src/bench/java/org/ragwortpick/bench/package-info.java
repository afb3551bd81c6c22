/** Side by side measurement of the policy classes and of naive ones on the same arrivals. */
package org.ragwortpick.bench;
