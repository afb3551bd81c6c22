/** Soft state about VMs and upstreams, with version cursors. */
package org.ragwortpick.sync.directory;
