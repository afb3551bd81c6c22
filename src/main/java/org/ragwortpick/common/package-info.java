/** Clocks, addresses, state charts and JSON mappers shared by all modules. */
package org.ragwortpick.common;
