/** Immutable model of the inventory and the rules. */
package org.ragwortpick.config;
