/** Soft state about VMs and upstreams, distributed with version cursors. */
package org.ragwortpick.sync.directory;
