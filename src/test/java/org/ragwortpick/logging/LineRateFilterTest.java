package org.ragwortpick.logging;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.ragwortpick.common.ManualClock;
import org.testng.annotations.Test;

/** Guards against a repeated failure that floods the log. */
public final class LineRateFilterTest {

  private final ManualClock clock = new ManualClock();
  private final LineRateFilter filter = new LineRateFilter(clock, 3);

  private int passed(String message, int lines) {
    int passed = 0;
    for (int i = 0; i < lines; i++) {
      passed += filter.isLoggable(new LogRecord(Level.INFO, message)) ? 1 : 0;
    }
    return passed;
  }

  @Test
  public void limitsEachMessageSeparatelyAndCountsOmittedLines() {
    assertEquals(passed("one", 10), 3);
    assertEquals(passed("other", 2), 2);
    clock.advanceMs(1_000);
    LogRecord next = new LogRecord(Level.INFO, "one");
    assertTrue(filter.isLoggable(next));
    assertEquals(next.getMessage(), "one (7 lines of this kind omitted)");
  }
}
