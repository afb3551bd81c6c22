/** gRPC channels to the other VMs. */
package org.ragwortpick.peer;
