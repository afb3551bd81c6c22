/** Configuration view of the local VM, updated by polls. */
package org.ragwortpick.sync.view;
