/** Stand-ins of the systems that ragwortpick serves, and the load tool. */
package org.ragwortpick.standin;
