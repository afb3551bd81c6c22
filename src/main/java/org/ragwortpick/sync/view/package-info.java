/** Configuration of the local VM as the polls deliver it. */
package org.ragwortpick.sync.view;
