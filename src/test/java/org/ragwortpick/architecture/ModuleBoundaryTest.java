package org.ragwortpick.architecture;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** Guards against product code outside the command line that depends on stand-ins. */
public final class ModuleBoundaryTest {

  private static final Path PRODUCT_SOURCES = Path.of("src/main/java/org/ragwortpick");

  @Test
  public void onlyCliDependsOnStandIns() throws IOException {
    List<Path> violations =
        SourceFiles.withText(PRODUCT_SOURCES, text -> text.contains("org.ragwortpick.standin"))
            .stream()
            .filter(file -> !file.startsWith(PRODUCT_SOURCES.resolve("cli")))
            .toList();
    assertEquals(violations, List.of());
  }
}
