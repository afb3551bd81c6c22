package org.ragwortpick.vm;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.lang.management.ManagementFactory;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a process start that builds a management server, and against a forced setting. */
public final class NoManagementServerTest {

  private String builder;
  private String poolBeans;

  @BeforeMethod
  public void clearProperties() {
    builder = System.clearProperty(NoManagementServer.BUILDER);
    poolBeans = System.clearProperty(NoManagementServer.POOL_BEANS);
  }

  @AfterMethod
  public void restore() {
    restore(NoManagementServer.BUILDER, builder);
    restore(NoManagementServer.POOL_BEANS, poolBeans);
  }

  private static void restore(String property, String value) {
    if (value == null) {
      System.clearProperty(property);
    } else {
      System.setProperty(property, value);
    }
  }

  @Test
  public void refusesToCreateServer() {
    NoManagementServer.select();
    assertThrows(
        UnsupportedOperationException.class,
        () -> javax.management.MBeanServerFactory.newMBeanServer());
    assertEquals(System.getProperty(NoManagementServer.POOL_BEANS), "false");
  }

  @Test
  public void readsMemoryBeansWithoutServer() {
    NoManagementServer.select();
    assertEquals(ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() > 0, true);
  }

  @Test
  public void keepsBuilderOfOperator() {
    System.setProperty(NoManagementServer.BUILDER, "javax.management.MBeanServerBuilder");
    NoManagementServer.select();
    assertEquals(
        System.getProperty(NoManagementServer.BUILDER), "javax.management.MBeanServerBuilder");
  }
}
