/** Execution of pipelines, stage by stage. */
package org.ragwortpick.entry.pipeline;
