/**
 * Versions of the upstreams at which streams began, so that a stream that broke off is taken up at
 * the same version only. Entry VMs write the records, control VMs with a disk keep them.
 */
package org.ragwortpick.origin;
