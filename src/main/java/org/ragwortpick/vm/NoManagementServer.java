package org.ragwortpick.vm;

import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Refuses to create the platform management server. The I/O library registers its beans there when
 * it starts and goes on without them if there is no server. Nothing in a deployment reads them; the
 * metrics of the process are served over HTTP.
 */
public final class NoManagementServer extends MBeanServerBuilder {

  /** System property that names the builder of management servers. */
  static final String BUILDER = "javax.management.builder.initial";

  /** System property that decides whether thread pools of the I/O library register a bean each. */
  static final String POOL_BEANS = "jboss.threads.eqe.register-mbean";

  /** Creates the builder for the management library. */
  public NoManagementServer() {}

  /**
   * Selects this builder unless the operator has set the properties. Must be called before the I/O
   * library is used.
   */
  public static void select() {
    setIfAbsent(BUILDER, NoManagementServer.class.getName());
    setIfAbsent(POOL_BEANS, Boolean.toString(false));
  }

  private static void setIfAbsent(String property, String value) {
    if (System.getProperty(property) == null) {
      System.setProperty(property, value);
    }
  }

  @Override
  public MBeanServer newMBeanServer(
      String defaultDomain, MBeanServer outer, MBeanServerDelegate delegate) {
    throw new UnsupportedOperationException(
        "management beans are disabled; set the system property "
            + BUILDER
            + " to javax.management.MBeanServerBuilder to enable them");
  }
}
