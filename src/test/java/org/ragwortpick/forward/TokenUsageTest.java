package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;

import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests whose unreadable tokens count as zero. */
public final class TokenUsageTest {

  @DataProvider
  public static Object[][] headers() {
    return new Object[][] {
      {"11000,992", OptionalLong.of(11_992)},
      {" 11000 , 992 ", OptionalLong.of(11_992)},
      {"11000", OptionalLong.empty()},
      {"11000,-1", OptionalLong.empty()},
      {"many,992", OptionalLong.empty()},
      {"", OptionalLong.empty()},
    };
  }

  @Test(dataProvider = "headers")
  public void onlyTwoNumbersAreSummed(String text, OptionalLong expected) {
    assertEquals(TokenUsage.parse(text), expected);
  }
}
