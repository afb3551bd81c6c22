/** Replicated state machine of the control VMs. */
package org.ragwortpick.control;
