/** Administration API, health checks and metrics. */
package org.ragwortpick.admin;
