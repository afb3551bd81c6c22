/** Simulation that compares the policy classes with naive policies on the same arrivals. */
package org.ragwortpick.bench;
