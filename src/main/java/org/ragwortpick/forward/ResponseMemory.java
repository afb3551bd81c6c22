package org.ragwortpick.forward;

import java.util.Comparator;
import java.util.TreeSet;
import org.jboss.logging.Logger;
import org.ragwortpick.logging.DecisionLine;

/**
 * Bounds the memory that all requests together hold for their callers: request bodies, buffered
 * responses, and bytes that were read from upstreams and not yet taken by callers.
 *
 * <p>Each response may hold as much as is left below the bound of responses. The more callers are
 * slow, the less each may hold, and the upstreams of those that hold most wait first; a response
 * whose caller keeps up holds nothing and never waits. Confined to the I/O thread.
 */
public final class ResponseMemory {

  private static final Logger LOG = Logger.getLogger(ResponseMemory.class);

  /** Part of the heap that is held for callers at most. */
  private static final int HEAP_DIVISOR = 4;

  /** Part of the bound that responses leave to request bodies. */
  private static final int REQUESTS_DIVISOR = 4;

  /** Largest number of bytes that one response holds, whatever is left. */
  private static final int MAX_RESPONSE_BYTES = 256 * 1024;

  /** Short responses, most of them errors, can be repeated even if nothing is left. */
  private static final int MIN_BUFFERED_BYTES = 4 * 1024;

  /** Smallest number of bytes that are read from an upstream at once. */
  private static final int MIN_READ_BYTES = 1024;

  /** Number of bytes that an upstream that goes on is expected to send with its first read. */
  private static final int EXPECTED_READ_BYTES = 16 * 1024;

  private final long boundBytes;
  private final long responseBoundBytes;
  private final TreeSet<Share> paused =
      new TreeSet<>(
          Comparator.comparingInt((Share share) -> share.pausedAtBytes)
              .thenComparingLong(share -> share.number));
  private long heldBytes;
  private long lastNumber;
  private boolean scarce;

  /**
   * Creates an instance that holds nothing.
   *
   * @param boundBytes bound in bytes
   */
  public ResponseMemory(long boundBytes) {
    this.boundBytes = boundBytes;
    this.responseBoundBytes = boundBytes - boundBytes / REQUESTS_DIVISOR;
  }

  /**
   * Creates an instance whose bound is a share of the heap.
   *
   * @return the instance
   */
  public static ResponseMemory ofHeap() {
    return new ResponseMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
  }

  /**
   * Returns whether a request can be accepted.
   *
   * @param bodyBytes size of its body; negative if it is unknown
   * @return false if the bound would be exceeded
   */
  boolean hasRoomFor(long bodyBytes) {
    return heldBytes + Math.max(0, bodyBytes) <= boundBytes;
  }

  /**
   * Begins to count what one request holds. It must be closed.
   *
   * @return an empty share
   */
  Share open() {
    lastNumber++;
    return new Share(lastNumber);
  }

  /**
   * Returns the sum over all requests.
   *
   * @return held memory in bytes
   */
  public long heldBytes() {
    return heldBytes;
  }

  /**
   * Returns the number of upstreams that wait for slow callers.
   *
   * @return number of responses whose upstream is paused
   */
  public int pausedCount() {
    return paused.size();
  }

  /** Number of bytes that a response may hold at this moment; negative above the bound. */
  private long allowedBytes() {
    return Math.min(MAX_RESPONSE_BYTES, responseBoundBytes - heldBytes);
  }

  private void change(long bytes) {
    heldBytes += bytes;
    if (bytes < 0) {
      resumeSmallest();
    }
    logChange();
  }

  private void logChange() {
    long halfBytes = responseBoundBytes / 2;
    boolean nowScarce =
        heldBytes
            > (scarce ? halfBytes : Math.max(halfBytes, responseBoundBytes - MAX_RESPONSE_BYTES));
    if (nowScarce != scarce) {
      scarce = nowScarce;
      DecisionLine.of(
              scarce
                  ? "memory for callers is scarce; upstreams of slow callers wait"
                  : "memory for callers is available again")
          .with("heldBytes", heldBytes)
          .with("boundBytes", boundBytes)
          .with("paused", paused.size())
          .info(LOG);
    }
  }

  /** Resumes no more upstreams than can be expected to send what is left. */
  private void resumeSmallest() {
    long expectedBytes = 0;
    while (!paused.isEmpty()
        && paused.first().pendingBytes <= allowedBytes() - expectedBytes
        && expectedBytes < MAX_RESPONSE_BYTES) {
      paused.first().resume();
      expectedBytes += EXPECTED_READ_BYTES;
    }
  }

  /** What one request holds. */
  final class Share {

    private final long number;
    private long requestBytes;
    private int bufferedBytes;
    private int pendingBytes;
    private int pausedAtBytes;
    private Runnable onResume = () -> {};
    private boolean isPaused;
    private boolean isClosed;

    private Share(long number) {
      this.number = number;
    }

    /**
     * Sets the size of the request body.
     *
     * @param bytes size in bytes; negative if it is not known yet
     */
    void setRequestBytes(long bytes) {
      long before = requestBytes;
      requestBytes = isClosed ? 0 : Math.max(0, bytes);
      change(requestBytes - before);
    }

    /**
     * Adds to what is buffered for a possible repeat, and for callers that get a buffered response.
     *
     * @param bytes number of bytes; negative for released ones
     */
    void addBufferedBytes(int bytes) {
      if (!isClosed) {
        bufferedBytes += bytes;
        change(bytes);
      }
    }

    /**
     * Returns whether a response may go on being buffered.
     *
     * @param responseBytes number of bytes of it that are buffered
     * @return false if it must be passed to its caller now
     */
    boolean mayBuffer(int responseBytes) {
      return responseBytes <= Math.max(MIN_BUFFERED_BYTES, allowedBytes());
    }

    /**
     * Sets what waits for the caller. An upstream that waits goes on if the caller has taken bytes.
     *
     * @param bytes number of bytes
     */
    void setPendingBytes(int bytes) {
      if (isClosed || bytes == pendingBytes) {
        return;
      }
      int change = bytes - pendingBytes;
      pendingBytes = bytes;
      change(change);
      if (!isPaused) {
        return;
      }
      boolean hasTaken = pausedAtBytes - pendingBytes >= MIN_READ_BYTES;
      if (hasTaken || pendingBytes == 0 || pendingBytes <= allowedBytes()) {
        resume();
      }
    }

    /**
     * Decides whether the upstream must wait for the caller.
     *
     * @param resume called once when it may go on
     * @return whether it must wait
     */
    boolean pauseIfFull(Runnable resume) {
      if (isClosed || isPaused || pendingBytes == 0 || pendingBytes <= allowedBytes()) {
        return isPaused;
      }
      isPaused = true;
      pausedAtBytes = pendingBytes;
      onResume = resume;
      paused.add(this);
      return true;
    }

    /**
     * Returns how much may be read for the response at once.
     *
     * @return positive number of bytes
     */
    int maxReadBytes() {
      return (int) Math.max(MIN_READ_BYTES, allowedBytes() - pendingBytes);
    }

    private void resume() {
      paused.remove(this);
      isPaused = false;
      Runnable action = onResume;
      onResume = () -> {};
      action.run();
    }

    /** Releases everything. No effect if it is closed. */
    void close() {
      if (isClosed) {
        return;
      }
      isClosed = true;
      paused.remove(this);
      isPaused = false;
      onResume = () -> {};
      change(-requestBytes - bufferedBytes - pendingBytes);
      requestBytes = 0;
      bufferedBytes = 0;
      pendingBytes = 0;
    }
  }
}
