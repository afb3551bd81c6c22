/** Caller API and execution of pipelines and service calls. */
package org.ragwortpick.entry;
