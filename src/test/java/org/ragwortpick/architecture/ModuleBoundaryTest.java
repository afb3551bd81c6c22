package org.ragwortpick.architecture;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** Guards against product code that depends on stand-ins. */
public final class ModuleBoundaryTest {

  private static final Path PRODUCT = Path.of("src/main/java/org/ragwortpick");

  @Test
  public void onlyTheCommandLineReachesStandIns() throws IOException {
    List<Path> offenders =
        SourceFiles.withText(PRODUCT, text -> text.contains("org.ragwortpick.standin")).stream()
            .filter(file -> !file.startsWith(PRODUCT.resolve("cli")))
            .toList();
    assertEquals(offenders, List.of());
  }
}
