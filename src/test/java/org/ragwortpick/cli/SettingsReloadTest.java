package org.ragwortpick.cli;

import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against an error that ends the polling of the settings file for good. */
public final class SettingsReloadTest {

  private static final long LONGER_THAN_POLL_MS = 2_600;
  private static final long MAX_WAIT_MS = 8_000;
  private static final String SETTINGS =
      """
      {
        "peerAddress": "127.0.0.1:7601",
        "dataCentre": "a",
        "clusterId": "c",
        "protocol": "platform",
        "seeds": { "hosts": ["127.0.0.2"], "peerPort": 7601 },
        "entry": { "callerAddress": "127.0.0.1:7604", "readinessAddress": "127.0.0.1:7605" }
      }
      """;

  private final Semaphore reloads = new Semaphore(0);
  private Path folder;
  private Path file;

  @BeforeMethod
  public void createFolder() throws Exception {
    reloads.drainPermits();
    folder = Files.createTempDirectory("settings");
    file = folder.resolve("node.json");
  }

  @AfterMethod
  public void deleteFolder() throws Exception {
    Files.deleteIfExists(file);
    Files.delete(folder);
  }

  private void write(long modifiedAtS) throws Exception {
    Files.writeString(file, SETTINGS);
    Files.setLastModifiedTime(file, FileTime.from(modifiedAtS, TimeUnit.SECONDS));
  }

  private boolean awaitReload() throws InterruptedException {
    return reloads.tryAcquire(MAX_WAIT_MS, TimeUnit.MILLISECONDS);
  }

  @Test
  public void fileThatIsMissingAtStartIsReadLater() throws Exception {
    try (SettingsReload reload = new SettingsReload(file, settings -> reloads.release())) {
      reload.start();
      new CountDownLatch(1).await(LONGER_THAN_POLL_MS, TimeUnit.MILLISECONDS);
      write(1_000);
      assertTrue(awaitReload());
    }
  }

  @Test
  public void changeAfterFailedOneIsApplied() throws Exception {
    write(1_000);
    try (SettingsReload reload =
        new SettingsReload(
            file,
            settings -> {
              reloads.release();
              throw new IllegalStateException("cannot be applied");
            })) {
      reload.start();
      write(2_000);
      assertTrue(awaitReload());
      write(3_000);
      assertTrue(awaitReload());
    }
  }
}
