package org.ragwortpick.entry.http;

import static org.testng.Assert.assertEquals;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.WorkCounter;
import org.testng.annotations.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Guards against callers whose connections take the file descriptors that upstreams need. */
public final class ConnectionLimitTest {

  private static final int MAX_CONNECTIONS = 3;

  @Test
  public void callersBeyondTheLimitAreServedWhenAConnectionCloses() throws Exception {
    XnioWorker worker =
        Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    EntryServer server =
        new EntryServer(
            "127.0.0.1",
            0,
            worker,
            new DefaultByteBufferPool(true, 16 * 1024),
            exchange -> exchange.getResponseSender().send("ok"),
            new WorkCounter(),
            MAX_CONNECTIONS);
    server.start();
    List<Socket> callers = new ArrayList<>();
    try {
      for (int i = 0; i < MAX_CONNECTIONS; i++) {
        callers.add(connect(server.address()));
        assertEquals(read(callers.get(i), 5_000), 'H');
      }
      assertEquals(server.openConnections(), MAX_CONNECTIONS);
      Socket waiting = connect(server.address());
      callers.add(waiting);
      assertEquals(read(waiting, 300), -1, "the limit is exceeded");
      callers.get(0).close();
      assertEquals(read(waiting, 5_000), 'H');
    } finally {
      for (Socket caller : callers) {
        caller.close();
      }
      server.stop();
      worker.shutdownNow();
    }
  }

  private static Socket connect(HostPort address) throws IOException {
    Socket socket = new Socket(address.host(), address.port());
    socket
        .getOutputStream()
        .write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  /** Returns the first byte of the response; -1 if none arrives in time. */
  private static int read(Socket socket, int timeoutMs) throws IOException {
    socket.setSoTimeout(timeoutMs);
    try {
      return socket.getInputStream().read();
    } catch (SocketTimeoutException e) {
      return -1;
    }
  }
}
