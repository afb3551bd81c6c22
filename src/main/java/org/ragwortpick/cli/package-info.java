/** Command line of the program. */
package org.ragwortpick.cli;
