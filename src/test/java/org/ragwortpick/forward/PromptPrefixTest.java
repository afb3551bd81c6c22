package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against parts of a prompt that are shared with no other request, or have no id. */
public final class PromptPrefixTest {

  @DataProvider
  public static Object[][] headers() {
    return new Object[][] {
      {null, List.of(), 0L},
      {"a:1", List.of(), 0L},
      {"a:1,own:7", List.of("a"), 1L},
      {" a : 1 , b:2 ,own:7", List.of("a", "b"), 3L},
      {"a,b:x,own:7", List.of("a", "b"), 0L},
      {"a:1,,:5,own:7", List.of("a"), 6L},
      {",a:1,own:7", List.of("a"), 1L},
    };
  }

  @Test(dataProvider = "headers")
  public void onlySharedPartsWithAnIdCount(String header, List<String> parts, long tokens) {
    PromptPrefix prefix = PromptPrefix.parse(header);
    assertEquals(prefix.parts(), parts);
    assertEquals(prefix.tokens(), tokens);
  }
}
