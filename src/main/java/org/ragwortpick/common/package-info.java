/** Clock, state chart interpreter and JSON mapping shared by all modules. */
package org.ragwortpick.common;
