/** Calls to the leader of a consensus group, from any VM and on the leader itself. */
package org.ragwortpick.control.leader;
