package org.ragwortpick.peer;

import java.util.HexFormat;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Configures the gRPC transport of the process. By default, the first channel lists the network
 * interfaces for channel labels and reads the blocking random device of the system for the seed of
 * its random numbers, which delays the start. Neither value is security-relevant. The first buffer
 * starts the JDK Flight Recorder for events of allocations, although nothing records them.
 */
public final class TransportStart {

  private static final String PREFIX = "io.grpc.netty.shaded.io.netty.";

  /** System property with the machine id in channel labels. */
  static final String MACHINE_ID = PREFIX + "machineId";

  /** System property with the seed of the transport's random numbers. */
  static final String SEED = PREFIX + "initialSeedUniquifier";

  /** System property that enables Flight Recorder events of buffer allocations. */
  static final String RECORDER_EVENTS = PREFIX + "jfr.enabled";

  /** Length of a MAC address, which the transport uses as its machine id by default. */
  private static final int MACHINE_ID_BYTES = 6;

  private TransportStart() {}

  /**
   * Sets random values of the machine id and the seed, and disables the recorder events, unless the
   * properties are set. Must be called before the first channel is created.
   */
  public static void prepare() {
    byte[] machineId = new byte[MACHINE_ID_BYTES];
    ThreadLocalRandom.current().nextBytes(machineId);
    setIfAbsent(MACHINE_ID, HexFormat.ofDelimiter(":").formatHex(machineId));
    setIfAbsent(SEED, Long.toString(ThreadLocalRandom.current().nextLong()));
    setIfAbsent(RECORDER_EVENTS, Boolean.toString(false));
  }

  private static void setIfAbsent(String property, String value) {
    if (System.getProperty(property) == null) {
      System.setProperty(property, value);
    }
  }
}
