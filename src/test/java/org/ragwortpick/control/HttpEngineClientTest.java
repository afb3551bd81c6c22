package org.ragwortpick.control;

import static org.testng.Assert.assertEquals;

import io.undertow.Undertow;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicReference;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.Json;
import org.testng.annotations.Test;

/** Guards against orders that engines cannot parse and refusals that are treated as success. */
public final class HttpEngineClientTest {

  private static final EngineOrder ORDER =
      new EngineOrder("3-0", "e1", OrderAction.LOAD_ADAPTER, "tutor", "1", "safety", "", 3);

  @Test
  public void sendsOrderAsJsonAndMapsStatus() throws Exception {
    AtomicReference<String> body = new AtomicReference<>();
    AtomicReference<Integer> status = new AtomicReference<>(200);
    Undertow server =
        Undertow.builder()
            .setIoThreads(1)
            .setWorkerThreads(1)
            .addHttpListener(0, "127.0.0.1")
            .setHandler(
                exchange ->
                    exchange
                        .getRequestReceiver()
                        .receiveFullString(
                            (received, text) -> {
                              body.set(received.getRequestPath() + " " + text);
                              received.setStatusCode(status.get()).endExchange();
                            }))
            .build();
    server.start();
    InetSocketAddress bound = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    HostPort address = new HostPort("127.0.0.1", bound.getPort());
    HttpEngineClient client = new HttpEngineClient();
    try {
      assertEquals(ControlFixture.get(client.send(address, ORDER, 4, 2_000)), OrderOutcome.TAKEN);
      String[] parts = body.get().split(" ", 2);
      assertEquals(parts[0], "/v1/orders");
      assertEquals(
          Json.MESSAGES.readTree(parts[1]),
          Json.MESSAGES.readTree(
              "{\"orderId\":\"3-0\",\"fencingToken\":4,\"action\":\"LOAD_ADAPTER\","
                  + "\"model\":\"tutor\",\"version\":\"1\",\"adapter\":\"safety\",\"role\":\"\"}"));
      status.set(409);
      assertEquals(
          ControlFixture.get(client.send(address, ORDER, 4, 2_000)), OrderOutcome.TOKEN_OLD);
    } finally {
      server.stop();
    }
    assertEquals(ControlFixture.get(client.send(address, ORDER, 4, 2_000)), OrderOutcome.UNKNOWN);
  }
}
