package org.ragwortpick.batch;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimate of the result memory that one upstream has free. The sizes of results are approximate
 * and other collectors may have used the upstream, so the usable share of the memory is reduced
 * when the upstream reports that none is left, and recovers with time.
 */
final class ResultCapacity {

  private static final double MIN_USABLE_SHARE = 0.1;
  private static final double MAX_USABLE_SHARE = 0.95;

  /** Time in which the usable share recovers from 0 to 1; about the lifetime of results. */
  private static final double RECOVERY_MS = 4_000;

  /** Time for which the estimate counts as unreliable after the upstream had no capacity left. */
  private static final long UNRELIABLE_MS = 2_000;

  private final Map<String, HeldResult> results = new HashMap<>();
  private long heldBytes;
  private long reservedBytes;
  private double usableShare = MAX_USABLE_SHARE;
  private long exhaustedAtMs = Long.MIN_VALUE / 2;

  /**
   * Removes expired results and returns the capacity for further ones.
   *
   * @param totalBytes result memory of the upstream in bytes
   * @param nowMs monotonic time in milliseconds
   * @return free capacity in bytes; negative if results exceed the usable share
   */
  long freeBytes(long totalBytes, long nowMs) {
    results.values().removeIf(result -> deductIfExpired(result, nowMs));
    return (long) (usableShare(nowMs) * totalBytes) - heldBytes - reservedBytes;
  }

  /** Results that this collector does not know expire, so the share recovers with time. */
  private double usableShare(long nowMs) {
    double recovered = (double) (nowMs - exhaustedAtMs) / RECOVERY_MS;
    return Math.min(MAX_USABLE_SHARE, usableShare + recovered);
  }

  private boolean deductIfExpired(HeldResult result, long nowMs) {
    if (nowMs < result.expiresAtMs()) {
      return false;
    }
    heldBytes -= result.bytes();
    return true;
  }

  /**
   * Reserves capacity for the results of a call in progress.
   *
   * @param bytes size of the results in bytes
   */
  void reserve(long bytes) {
    reservedBytes += bytes;
  }

  /**
   * Cancels the reservation of a call that ended.
   *
   * @param bytes size of the results in bytes
   */
  void cancelReservation(long bytes) {
    reservedBytes -= bytes;
  }

  /**
   * Records that the upstream had no capacity for a result that was expected to fit: the results
   * that it holds now become the usable share.
   *
   * @param totalBytes result memory of the upstream in bytes
   * @param nowMs monotonic time in milliseconds
   */
  void onExhausted(long totalBytes, long nowMs) {
    double heldShare = (double) heldBytes / Math.max(1, totalBytes);
    usableShare = Math.max(MIN_USABLE_SHARE, Math.min(usableShare(nowMs), heldShare));
    exhaustedAtMs = nowMs;
  }

  /**
   * Returns whether the estimate is reliable.
   *
   * @param nowMs monotonic time in milliseconds
   * @return false if the upstream recently had no capacity for a result that was expected to fit
   */
  boolean isReliable(long nowMs) {
    return nowMs - exhaustedAtMs > UNRELIABLE_MS;
  }

  /**
   * Adds a result that the upstream holds.
   *
   * @param handle handle of the result
   * @param bytes size of the result in bytes
   * @param expiresAtMs monotonic time in milliseconds at which the upstream deletes the result
   */
  void add(String handle, long bytes, long expiresAtMs) {
    if (results.put(handle, new HeldResult(bytes, expiresAtMs)) == null) {
      heldBytes += bytes;
    }
  }

  /**
   * Returns whether the upstream holds a result that was added here.
   *
   * @param handle handle of the result
   * @return whether the result is present
   */
  boolean contains(String handle) {
    return results.containsKey(handle);
  }

  /**
   * Removes a released result.
   *
   * @param handle handle of the result
   */
  void remove(String handle) {
    HeldResult result = results.remove(handle);
    if (result != null) {
      heldBytes -= result.bytes();
    }
  }

  private record HeldResult(long bytes, long expiresAtMs) {}
}
