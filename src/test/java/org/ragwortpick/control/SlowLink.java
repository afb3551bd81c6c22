package org.ragwortpick.control;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.common.HostPort;

/** Relay to a server on this machine that carries a limited number of bytes a second each way. */
public final class SlowLink implements AutoCloseable {

  private static final int BUFFER_BYTES = 4_096;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final int serverPort;
  private final long bytesPerSecond;

  /**
   * Starts a link to a server.
   *
   * @param serverPort port of the server
   * @param bytesPerSecond bytes that the link carries a second each way
   * @throws IOException if there is no port to listen on
   */
  public SlowLink(int serverPort, long bytesPerSecond) throws IOException {
    this.serverPort = serverPort;
    this.bytesPerSecond = bytesPerSecond;
    startThread(this::accept);
  }

  /**
   * Returns the address at which the server is reached over the link.
   *
   * @return the address
   */
  public HostPort address() {
    return new HostPort("127.0.0.1", listener.getLocalPort());
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "slow-link");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket client = listener.accept();
        Socket server = new Socket(InetAddress.getLoopbackAddress(), serverPort);
        sockets.addAll(List.of(client, server));
        startThread(() -> carry(client, server));
        startThread(() -> carry(server, client));
      }
    } catch (IOException e) {
      // The link was closed.
    }
  }

  private void carry(Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try (InputStream input = from.getInputStream();
        OutputStream output = to.getOutputStream()) {
      for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
        TimeUnit.NANOSECONDS.sleep(count * NANOS_PER_SECOND / bytesPerSecond);
        output.write(buffer, 0, count);
      }
    } catch (IOException e) {
      // One side has closed its connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
