package org.ragwortpick.architecture;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Guards against product code that depends on stand-ins. */
public final class ModuleBoundaryTest {

  private static final Path PRODUCT = Path.of("src/main/java/org/ragwortpick");

  @Test
  public void onlyTheCommandLineReachesStandIns() throws IOException {
    try (Stream<Path> files = Files.walk(PRODUCT)) {
      List<Path> offenders =
          files
              .filter(file -> file.toString().endsWith(".java"))
              .filter(file -> !file.startsWith(PRODUCT.resolve("cli")))
              .filter(file -> read(file).contains("org.ragwortpick.standin"))
              .toList();
      assertEquals(offenders, List.of());
    }
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
