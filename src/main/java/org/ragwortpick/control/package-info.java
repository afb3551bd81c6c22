/** Replicated state machine of the configuration, operator requests, placement and orders. */
package org.ragwortpick.control;
