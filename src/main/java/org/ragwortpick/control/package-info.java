/** Replicated state machine of the configuration, operator requests, placement, engine orders. */
package org.ragwortpick.control;
