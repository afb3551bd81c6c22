package org.ragwortpick.sync.rpc;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.logging.RecordedLines;
import org.testng.annotations.Test;

/**
 * Guards against VMs that serve by an old configuration, or not at all, while nothing in the log
 * says that their polls fail, and against a line for each of these polls.
 */
public final class FailedPollLogTest {

  private static final HostPort SOURCE = new HostPort("10.0.0.1", 7300);
  private static final FetchProgress COMPLETE = new FetchProgress(4, 0, 0, 0, false, true);
  private static final FetchProgress TRANSFERRING =
      new FetchProgress(4, 5, 32_768, 90_000, false, true);
  private static final FetchProgress WITHOUT_RECORDS = new FetchProgress(4, 0, 0, 0, true, true);
  private static final FetchProgress NOT_IN_FORCE = new FetchProgress(4, 0, 0, 0, false, false);

  private final ManualClock clock = new ManualClock();

  @Test
  public void lineStatesWhatIsMissing() {
    List<Map<String, Object>> lines = linesOf(log -> log.failed(SOURCE, "timeout", TRANSFERRING));
    assertEquals(lines.size(), 1);
    Map<String, Object> line = lines.get(0);
    assertEquals(line.get("source"), "10.0.0.1:7300");
    assertEquals(line.get("reason"), "timeout");
    assertEquals(line.get("revision"), "4");
    assertEquals(line.get("offeredRevision"), "5");
    assertEquals(line.get("receivedBytes"), "32768");
    assertEquals(line.get("totalBytes"), "90000");
    assertEquals(line.get("failedPolls"), "1");
  }

  @Test
  public void missingRecordsAndConfirmationsAreLogged() {
    assertEquals(linesOf(log -> log.failed(SOURCE, "timeout", WITHOUT_RECORDS)).size(), 1);
    assertEquals(linesOf(log -> log.failed(SOURCE, "timeout", NOT_IN_FORCE)).size(), 1);
  }

  /** A lost poll of a VM that has everything is repeated and says nothing. */
  @Test
  public void pollOfCompleteVmIsNotLogged() {
    assertEquals(linesOf(log -> log.failed(SOURCE, "timeout", COMPLETE)).size(), 0);
  }

  @Test
  public void atMostOneLineIsLoggedInEachSecond() {
    List<Map<String, Object>> lines =
        linesOf(
            log -> {
              for (int poll = 0; poll < 100; poll++) {
                log.failed(SOURCE, "timeout", NOT_IN_FORCE);
                clock.advanceMs(50);
              }
            });
    assertEquals(lines.size(), 5);
    assertEquals(lines.get(4).get("failedPolls"), "81");
  }

  @Test
  public void failuresAreCountedSinceNothingWasMissing() {
    List<Map<String, Object>> lines =
        linesOf(
            log -> {
              log.failed(SOURCE, "timeout", NOT_IN_FORCE);
              log.succeeded(COMPLETE);
              log.failed(SOURCE, "timeout", NOT_IN_FORCE);
            });
    assertEquals(lines.get(lines.size() - 1).get("failedPolls"), "1");
  }

  private List<Map<String, Object>> linesOf(Consumer<FailedPollLog> work) {
    try (RecordedLines recorded =
        new RecordedLines(
            FailedPollLog.class.getName(),
            "poll failed while configuration or records are missing")) {
      work.accept(new FailedPollLog(clock));
      return recorded.lines();
    }
  }
}
