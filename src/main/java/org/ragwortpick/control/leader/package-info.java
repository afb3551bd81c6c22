/** Calls from any VM to the leader of a consensus group, and the lease and tenure of the leader. */
package org.ragwortpick.control.leader;
