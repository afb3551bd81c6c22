package org.ragwortpick.common;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against addresses with host names or invalid ports that are accepted. */
public final class HostPortTest {

  @DataProvider
  Object[][] invalidAddresses() {
    return new Object[][] {
      {"localhost:80"}, {"10.0.0.1"}, {"10.0.0.256:80"}, {"10.0.0.1:0"}, {"10.0.0.1:65536"}, {""}
    };
  }

  @Test
  public void parsesIpv4AddressWithPort() {
    assertEquals(HostPort.parse("10.0.0.1:8080"), new HostPort("10.0.0.1", 8080));
  }

  @Test(dataProvider = "invalidAddresses")
  public void rejectsInvalidAddress(String text) {
    assertThrows(IllegalArgumentException.class, () -> HostPort.parse(text));
  }
}
