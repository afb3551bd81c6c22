/** Measurements over sliding windows that the policies use. */
package org.ragwortpick.policy.measure;
