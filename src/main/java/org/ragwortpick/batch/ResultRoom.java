package org.ragwortpick.batch;

import java.util.HashMap;
import java.util.Map;

/**
 * Results that one upstream holds, as far as the collector knows. The sizes are approximate, so the
 * part of the room that is used shrinks when the upstream has none left and grows back slowly.
 */
final class ResultRoom {

  private static final double SHRINK = 0.85;
  private static final double GROWTH = 0.01;
  private static final double LEAST_PART = 0.3;
  private static final double FIRST_PART = 0.9;

  private final Map<String, Held> held = new HashMap<>();
  private long heldBytes;
  private long reservedBytes;
  private double usablePart = FIRST_PART;

  /**
   * Returns the room for further results.
   *
   * @param totalBytes memory for results in bytes
   * @param nowMs monotonic time in milliseconds
   * @return room in bytes
   */
  long free(long totalBytes, long nowMs) {
    held.values().removeIf(result -> expired(result, nowMs));
    return (long) (usablePart * totalBytes) - heldBytes - reservedBytes;
  }

  private boolean expired(Held result, long nowMs) {
    if (nowMs < result.expiresAtMs()) {
      return false;
    }
    heldBytes -= result.bytes();
    return true;
  }

  /**
   * Reserves room for the results of a call.
   *
   * @param bytes size of the results in bytes
   */
  void reserve(long bytes) {
    reservedBytes += bytes;
  }

  /**
   * Ends a reservation.
   *
   * @param bytes size of the results in bytes
   */
  void unreserve(long bytes) {
    reservedBytes -= bytes;
  }

  /** Notes that the upstream had no room for a result that was expected to fit. */
  void exceeded() {
    usablePart = Math.max(LEAST_PART, usablePart * SHRINK);
  }

  /** Notes that all results of a call had room. */
  void sufficed() {
    usablePart = Math.min(1.0, usablePart + GROWTH);
  }

  /**
   * Notes a result.
   *
   * @param handle its handle
   * @param bytes its size in bytes
   * @param expiresAtMs monotonic time in milliseconds at which the upstream drops it
   */
  void hold(String handle, long bytes, long expiresAtMs) {
    if (held.put(handle, new Held(bytes, expiresAtMs)) == null) {
      heldBytes += bytes;
    }
  }

  /**
   * Notes that a result was given up.
   *
   * @param handle its handle
   * @return whether the result was known
   */
  boolean release(String handle) {
    Held result = held.remove(handle);
    if (result != null) {
      heldBytes -= result.bytes();
    }
    return result != null;
  }

  private record Held(long bytes, long expiresAtMs) {}
}
