/** Composition and life cycle of one process. */
package org.ragwortpick.vm;
