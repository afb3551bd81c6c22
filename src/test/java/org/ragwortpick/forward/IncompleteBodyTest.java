package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a request whose body was cut off on its way and that is refused for its content,
 * or that reaches an upstream.
 */
public final class IncompleteBodyTest extends ForwardServerFixture {

  private static final int READ_TIMEOUT_MS = 10_000;

  /** Longer than the server needs to read what has arrived. */
  private static final long PAUSE_MS = 100;

  private RawUpstream upstream;

  @BeforeMethod(dependsOnMethods = "startServer")
  public void startUpstream() throws Exception {
    upstream = new RawUpstream((c, r, request) -> RawUpstream.response(request, "", "done"));
    server().announce("u1", upstream.address());
  }

  @AfterMethod(alwaysRun = true)
  public void stopUpstream() throws IOException {
    upstream.close();
  }

  /** Returns what the caller reads after it has sent a request and closed its output. */
  private String send(String headers, String body, boolean inTwoParts) throws Exception {
    HostPort address = server().address();
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(address.host(), address.port()));
      socket.setSoTimeout(READ_TIMEOUT_MS);
      String head =
          "POST /once/x HTTP/1.1\r\nHost: "
              + address
              + "\r\nRequest-Id: r1\r\nAccess-Code: k1\r\nTime-Left-Ms: 5000\r\n"
              + headers
              + "\r\n\r\n";
      socket.getOutputStream().write(ascii(head + (inTwoParts ? "" : body)));
      if (inTwoParts) {
        pause(PAUSE_MS);
        socket.getOutputStream().write(ascii(body));
        pause(PAUSE_MS);
      }
      socket.shutdownOutput();
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /** Bytes of a body of 8 bytes that arrive, and whether they arrive after the head. */
  @DataProvider
  public static Object[][] bodiesCutOff() {
    return new Object[][] {{"half", false}, {"half", true}, {"", false}, {"", true}};
  }

  @Test(dataProvider = "bodiesCutOff")
  public void bodyThatIsCutOffMayBeSentAgain(String body, boolean inTwoParts) throws Exception {
    String response = send("Content-Length: 8", body, inTwoParts);
    assertTrue(response.startsWith("HTTP/1.1 408 "), response);
    assertTrue(response.contains("Connection: close"), response);
    assertEquals(upstream.workRequests(), 0);
  }

  /** Chunks that are missing or invalid, and whether they arrive after the head. */
  @DataProvider
  public static Object[][] brokenChunks() {
    return new Object[][] {
      {"8\r\nhalf", false},
      {"8\r\nhalf", true},
      {"4\r\nhalf\r\n", false},
      {"4\r\nhalf\r\n", true},
      {"", true},
      {"zz\r\nhalf\r\n0\r\n\r\n", false},
      {"zz\r\nhalf\r\n0\r\n\r\n", true},
      {"-4\r\nhalf\r\n0\r\n\r\n", false},
    };
  }

  /** The caller sees no status that it could take for a verdict on the content of its request. */
  @Test(dataProvider = "brokenChunks")
  public void brokenChunksEndTheConnection(String chunks, boolean inTwoParts) throws Exception {
    assertEquals(send("Transfer-Encoding: chunked", chunks, inTwoParts), "");
    assertEquals(upstream.workRequests(), 0);
  }
}
