package org.ragwortpick.architecture;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Guards against names of the users' platform outside its adapter. */
public final class PlatformBoundaryTest {

  private static final Path PRODUCT = Path.of("src/main/java/org/ragwortpick");

  private static final Pattern PLATFORM_NAMES =
      Pattern.compile(
          "org\\.ragwortpick\\.platform|Attempt-Id|Tenant|Not-Executed|Expected-Instance"
              + "|Instance-Load|Prefix-Hash|Piece-Count|RouteList|PathPrefix|TargetLatencyMs"
              + "|stage-run|stage-free|evacuation|deregister|ControlPlane|SeedNodes");

  @Test
  public void onlyTheAdapterKnowsThePlatform() throws IOException {
    try (Stream<Path> files = Files.walk(PRODUCT)) {
      List<Path> offenders =
          files
              .filter(file -> file.toString().endsWith(".java"))
              .filter(file -> PLATFORM_NAMES.matcher(read(file)).find())
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
