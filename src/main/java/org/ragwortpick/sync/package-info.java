/** Distribution of configuration, VM records, upstream records and cold allowances. */
package org.ragwortpick.sync;
