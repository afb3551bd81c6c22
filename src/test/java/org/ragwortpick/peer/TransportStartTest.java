package org.ragwortpick.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a process start that blocks on the random device of the system, or that starts the
 * Flight Recorder.
 */
public final class TransportStartTest {

  private String machineId;
  private String seed;
  private String recorderEvents;

  @BeforeMethod
  public void clearProperties() {
    machineId = System.clearProperty(TransportStart.MACHINE_ID);
    seed = System.clearProperty(TransportStart.SEED);
    recorderEvents = System.clearProperty(TransportStart.RECORDER_EVENTS);
  }

  @AfterMethod
  public void restore() {
    restore(TransportStart.MACHINE_ID, machineId);
    restore(TransportStart.SEED, seed);
    restore(TransportStart.RECORDER_EVENTS, recorderEvents);
  }

  private static void restore(String property, String value) {
    if (value == null) {
      System.clearProperty(property);
    } else {
      System.setProperty(property, value);
    }
  }

  @Test
  public void setsMachineIdAndSeed() {
    TransportStart.prepare();
    assertTrue(
        System.getProperty(TransportStart.MACHINE_ID).matches("([0-9a-f]{2}:){5}[0-9a-f]{2}"));
    assertNotNull(Long.decode(System.getProperty(TransportStart.SEED)));
  }

  @Test
  public void disablesRecorderEvents() {
    TransportStart.prepare();
    assertEquals(System.getProperty(TransportStart.RECORDER_EVENTS), "false");
  }

  @Test
  public void keepsRecorderEventsEnabledByOperator() {
    System.setProperty(TransportStart.RECORDER_EVENTS, "true");
    TransportStart.prepare();
    assertEquals(System.getProperty(TransportStart.RECORDER_EVENTS), "true");
  }

  @Test
  public void keepsPropertySetByOperator() {
    System.setProperty(TransportStart.MACHINE_ID, "00:11:22:33:44:55");
    TransportStart.prepare();
    assertEquals(System.getProperty(TransportStart.MACHINE_ID), "00:11:22:33:44:55");
  }
}
