package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.Test;

/**
 * Guards against a graceful stop that cuts off a request that it has accepted, and against one that
 * waits for a request that has ended.
 */
public final class RequestsInFlightTest extends ForwardServerFixture {

  private static final long POLL_MS = 10;
  private static final int MAX_POLLS = 300;

  @Override
  Clock clock() {
    return new ManualClock();
  }

  private void awaitInFlight(int expected) throws InterruptedException {
    for (int i = 0; i < MAX_POLLS && server().inFlight() != expected; i++) {
      pause(POLL_MS);
    }
    assertEquals(server().inFlight(), expected);
  }

  private Socket sendHalfOfBody() throws IOException {
    HostPort address = server().address();
    Socket socket = new Socket(address.host(), address.port());
    String half =
        "POST /once/x HTTP/1.1\r\nHost: "
            + address
            + "\r\nRequest-Id: r1\r\nAccess-Code: k1\r\nTime-Left-Ms: 700\r\n"
            + "Content-Length: 8\r\n\r\nhalf";
    socket.getOutputStream().write(half.getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  @Test
  public void requestCountsWhileItsBodyArrives() throws Exception {
    try (RawUpstream upstream =
            new RawUpstream((c, r, request) -> RawUpstream.response(request, "", "whole"));
        Socket socket = sendHalfOfBody()) {
      server().announce("u1", upstream.address());
      awaitInFlight(1);
      socket.getOutputStream().write("rest".getBytes(StandardCharsets.US_ASCII));
      awaitInFlight(0);
      assertEquals(upstream.workRequests(), 1);
    }
  }

  @Test
  public void requestWhoseBodyNeverEndsStopsCounting() throws Exception {
    try (Socket socket = sendHalfOfBody()) {
      awaitInFlight(1);
      assertEquals(socket.getInputStream().read(), -1, "closed at the timeout");
      awaitInFlight(0);
    }
  }

  @Test
  public void callerThatLeavesInItsBodyStopsCounting() throws Exception {
    try (Socket socket = sendHalfOfBody()) {
      awaitInFlight(1);
    }
    awaitInFlight(0);
  }

  @Test
  public void callerThatLeavesBeforeItsResponseStopsCounting() throws Exception {
    try (RawUpstream upstream = new RawUpstream((c, r, request) -> "")) {
      server().announce("u1", upstream.address());
      try (Socket socket = sendHalfOfBody()) {
        socket.getOutputStream().write("rest".getBytes(StandardCharsets.US_ASCII));
        awaitInFlight(1);
      }
      awaitInFlight(0);
    }
  }

  @Test
  public void refusedRequestStopsCounting() throws Exception {
    assertEquals(server().post("/absent/x", "r1").statusCode(), 404);
    awaitInFlight(0);
  }
}
