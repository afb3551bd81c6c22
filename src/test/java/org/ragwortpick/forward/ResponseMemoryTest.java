package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a VM that runs out of memory because a thousand callers read slowly. */
public final class ResponseMemoryTest {

  private static final int RESPONSES = 1_000;
  private static final int READ_BYTES = 16 * 1024;
  private static final int RESPONSE_BYTES = 1024 * 1024;

  /** The share of a heap of 112 MiB. */
  private static final long BOUND_BYTES = 28 * 1024 * 1024;

  private ResponseMemory memory;

  @BeforeMethod
  public void holdNothing() {
    memory = new ResponseMemory(BOUND_BYTES);
  }

  @Test
  public void thousandSlowCallersStayBelowTheBound() {
    List<SlowResponse> responses = responses(RESPONSES);
    for (int round = 0; round < RESPONSE_BYTES / READ_BYTES; round++) {
      responses.forEach(SlowResponse::receive);
      assertTrue(memory.heldBytes() <= BOUND_BYTES, memory.heldBytes() + " bytes are held");
    }
    assertEquals(memory.pausedCount(), RESPONSES);
    assertTrue(memory.hasRoomFor(0), "slow callers alone must not cause refusals");
    int remaining = RESPONSES;
    while (remaining > 0) {
      responses.forEach(response -> response.take(3_000));
      assertTrue(memory.heldBytes() <= BOUND_BYTES, memory.heldBytes() + " bytes are held");
      remaining = (int) responses.stream().filter(response -> !response.isComplete()).count();
    }
    responses.forEach(response -> response.share.close());
    assertEquals(memory.heldBytes(), 0);
  }

  /** A caller that keeps up must not wait for callers that do not. */
  @Test
  public void onlyUpstreamsOfSlowCallersWait() {
    responses(RESPONSES).forEach(SlowResponse::receiveUntilPaused);
    ResponseMemory.Share fast = memory.open();
    fast.setPendingBytes(0);
    assertFalse(fast.pauseIfFull(() -> {}));
  }

  @Test
  public void upstreamOfTheSlowestCallerWaitsFirst() {
    ResponseMemory small = new ResponseMemory(400_000);
    ResponseMemory.Share slow = small.open();
    ResponseMemory.Share slower = small.open();
    slow.setPendingBytes(40_000);
    slower.setPendingBytes(150_000);
    assertFalse(slow.pauseIfFull(() -> {}));
    assertTrue(slower.pauseIfFull(() -> {}));
  }

  /** An upstream whose response stays unread for seconds cuts it off. */
  @Test
  public void upstreamGoesOnWhenTheCallerTakesBytesOrTheSumFalls() {
    ResponseMemory small = new ResponseMemory(400_000);
    ResponseMemory.Share other = small.open();
    ResponseMemory.Share share = small.open();
    other.setPendingBytes(200_000);
    share.setPendingBytes(90_000);
    AtomicInteger resumed = new AtomicInteger();
    assertTrue(share.pauseIfFull(resumed::incrementAndGet));
    share.setPendingBytes(88_000);
    assertEquals(resumed.get(), 1, "goes on when the caller has taken bytes");
    share.setPendingBytes(90_000);
    assertTrue(share.pauseIfFull(resumed::incrementAndGet));
    other.close();
    assertEquals(resumed.get(), 2, "goes on when another response has ended");
  }

  /** The last resort: a request that may not fit is refused before it is read. */
  @Test
  public void requestsAreRefusedOnlyAboveTheBound() {
    ResponseMemory.Share share = memory.open();
    share.setRequestBytes(BOUND_BYTES - 1_000);
    assertTrue(memory.hasRoomFor(1_000));
    assertFalse(memory.hasRoomFor(1_001));
    assertFalse(share.mayBuffer(5_000), "a response is not buffered beside such bodies");
    assertTrue(share.mayBuffer(4_000), "an error can still be repeated");
    share.close();
    assertTrue(memory.hasRoomFor(BOUND_BYTES));
  }

  private List<SlowResponse> responses(int count) {
    List<SlowResponse> responses = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      responses.add(new SlowResponse());
    }
    return responses;
  }

  /** Response whose upstream sends as much as it may. */
  private final class SlowResponse {

    private final ResponseMemory.Share share = memory.open();
    private int receivedBytes;
    private int pendingBytes;
    private boolean paused;

    private void receive() {
      int allowedBytes = Math.min(share.maxReadBytes(), READ_BYTES);
      int bytes = Math.min(allowedBytes, RESPONSE_BYTES - receivedBytes);
      if (paused || bytes == 0) {
        return;
      }
      receivedBytes += bytes;
      pendingBytes += bytes;
      share.setPendingBytes(pendingBytes);
      paused = share.pauseIfFull(this::resume);
    }

    private void resume() {
      paused = false;
    }

    private void receiveUntilPaused() {
      while (!paused && receivedBytes < RESPONSE_BYTES) {
        receive();
      }
    }

    private void take(int bytes) {
      pendingBytes -= Math.min(bytes, pendingBytes);
      share.setPendingBytes(pendingBytes);
      receive();
    }

    private boolean isComplete() {
      return receivedBytes == RESPONSE_BYTES && pendingBytes == 0;
    }
  }
}
