/** Demonstration: a deployment under load while a data centre is taken out and returned. */
package org.ragwortpick.standin.demo;
