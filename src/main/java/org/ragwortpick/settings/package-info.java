/** Settings of one process, read from JSON with comments and checked before start. */
package org.ragwortpick.settings;
