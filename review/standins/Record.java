import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one run: what was sent, answered and run, with times. */
final class Record {

  private final PrintStream out;
  private final long startedNs = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintStream(Files.newOutputStream(file), true);
  }

  long ms() {
    return (System.nanoTime() - startedNs) / 1_000_000;
  }

  synchronized void line(String format, Object... values) {
    out.println(String.format("%8.3f s  ", ms() / 1000.0) + String.format(format, values));
  }
}
