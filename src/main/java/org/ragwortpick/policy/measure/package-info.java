/** Sliding measurements that the decisions use. */
package org.ragwortpick.policy.measure;
