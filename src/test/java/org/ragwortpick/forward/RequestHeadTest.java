package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against an unusual and valid head that the HTTP server refuses, and against an invalid one
 * whose refusal changes unnoticed.
 */
public final class RequestHeadTest extends ForwardServerFixture {

  private static final int READ_TIMEOUT_MS = 10_000;
  private static final String CLOSED = "";

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

  private String statusOf(String line, String headers) throws IOException {
    HostPort address = server().address();
    try (Socket socket = new Socket(address.host(), address.port())) {
      socket.setSoTimeout(READ_TIMEOUT_MS);
      String request =
          line
              + "\r\nHost: "
              + address
              + "\r\nRequest-Id: r1\r\nAccess-Code: k1\r\nTime-Left-Ms: 5000\r\n"
              + "Connection: close\r\n"
              + headers
              + "\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      String response =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      return response.isEmpty() ? CLOSED : response.split(" ")[1];
    }
  }

  private static String headers(int count) {
    StringBuilder headers = new StringBuilder();
    for (int i = 0; i < count; i++) {
      headers.append("A-").append(i).append(": b\r\n");
    }
    return headers.toString();
  }

  /** Name, request line and headers of a request, and the status or the end of its connection. */
  @DataProvider
  public static Object[][] heads() {
    String get = "GET /safe/x HTTP/1.1";
    String large = "x".repeat(16 * 1024);
    return new Object[][] {
      {"plain", get, "", "200"},
      {"HTTP/1.0", "GET /safe/x HTTP/1.0", "", "200"},
      {"100 values of a header", get, "A: b\r\n".repeat(100), "200"},
      {"1,000 headers", get, headers(1_000), "200"},
      {"1,000 parameters", "GET /safe/x?" + "a=b&".repeat(999) + "a=b HTTP/1.1", "", "200"},
      {"4,001 parameters", "GET /safe/x?" + "b&".repeat(4_000) + "b HTTP/1.1", "", "200"},
      {"query", "GET /safe/x?a=b&c=%20d HTTP/1.1", "", "200"},
      {"escaped path", "GET /safe/%C4%8D%2F.. HTTP/1.1", "", "200"},
      {"invalid escape", "GET /safe/%zz HTTP/1.1", "", "400"},
      {"bytes above 127 in path", "GET /safe/\u010d HTTP/1.1", "", "200"},
      {"braces in path", "GET /safe/{a}|b HTTP/1.1", "", "400"},
      {"asterisk target", "OPTIONS * HTTP/1.1", "", "404"},
      {"CONNECT", "CONNECT 127.0.0.1:80 HTTP/1.1", "", "404"},
      {"unknown expectation", get, "Expect: something\r\n", "200"},
      {"100-continue without body", get, "Expect: 100-continue\r\n", "200"},
      {"upgrade to h2c", get, "Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n", "200"},
      {"head above 16 KB", get, "A: " + large + "\r\n", "400"},
      {"target above 16 KB", "GET /safe/" + large + " HTTP/1.1", "", "400"},
      {"head of 15 KB", get, "A: " + "x".repeat(15 * 1024) + "\r\n", "200"},
      {"two lengths", get, "Content-Length: 0\r\nContent-Length: 1\r\n", "400"},
      {"length and chunks", get, "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "400"},
      {"length that is no number", get, "Content-Length: x\r\n", "400"},
      {"negative length", get, "Content-Length: -1\r\n", "400"},
      {"unknown transfer encoding", get, "Transfer-Encoding: gzip\r\n", CLOSED},
      {"no HTTP", "hello", "", "400"},
      {"HTTP/2.0 in the line", "GET /safe/x HTTP/2.0", "", "400"},
      {"space in header name", get, "A b: c\r\n", "400"},
      {"folded header", get, "A: b\r\n c\r\n", "200"},
    };
  }

  @Test(dataProvider = "heads")
  public void statusOfHeadIsKnown(String name, String line, String headers, String status)
      throws Exception {
    assertEquals(statusOf(line, headers), status, name);
  }
}
