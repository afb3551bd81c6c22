/** Caller API, and execution of pipelines and service calls on an entry VM. */
package org.ragwortpick.entry;
