/** Channels to the other VMs of the system. */
package org.ragwortpick.peer;
