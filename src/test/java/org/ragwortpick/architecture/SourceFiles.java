package org.ragwortpick.architecture;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** Source files of the repository, for tests of module boundaries. */
public final class SourceFiles {

  private SourceFiles() {}

  /**
   * Lists the files under a folder whose text matches a predicate.
   *
   * @param folder folder of sources
   * @param predicate predicate on the text
   * @return paths of the files
   * @throws IOException if a file cannot be read
   */
  public static List<Path> withText(Path folder, Predicate<String> predicate) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      return files.filter(Files::isRegularFile).filter(file -> predicate.test(read(file))).toList();
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
