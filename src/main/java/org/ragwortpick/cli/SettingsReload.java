package org.ragwortpick.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.ragwortpick.common.ReportingScheduler;
import org.ragwortpick.settings.ForwardingSettings;
import org.ragwortpick.settings.ForwardingSettingsReader;
import org.ragwortpick.settings.SettingsError;
import sun.misc.Signal;

/**
 * Reloads the settings when the modification time of their file changes, and immediately on SIGHUP,
 * whose default action would terminate the process. The errors of an invalid file are logged and
 * the previous settings stay in force.
 */
final class SettingsReload implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(SettingsReload.class);
  private static final String RELOAD_SIGNAL = "HUP";

  /** Interval in milliseconds at which the modification time of the file is checked. */
  private static final long POLL_INTERVAL_MS = 2_000;

  private final Path file;
  private final Consumer<ForwardingSettings> settingsConsumer;
  private final ScheduledExecutorService executor = ReportingScheduler.singleDaemon("settings");
  private FileTime lastModified;

  /**
   * Creates the watcher; {@link #start} begins to poll the file.
   *
   * @param file settings file
   * @param settingsConsumer applies the new settings
   */
  SettingsReload(Path file, Consumer<ForwardingSettings> settingsConsumer) {
    this.file = file;
    this.settingsConsumer = settingsConsumer;
    this.lastModified = readLastModified();
  }

  /** Installs the signal handler and begins to poll the file. */
  void start() {
    Signal.handle(new Signal(RELOAD_SIGNAL), signal -> executor.execute(this::reload));
    executor.scheduleWithFixedDelay(
        this::reloadIfChanged, POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private FileTime readLastModified() {
    try {
      return Files.getLastModifiedTime(file);
    } catch (IOException e) {
      LOG.debugf(
          "%s: cannot read the modification time, assuming no change: %s", file, e.getMessage());
      return lastModified;
    }
  }

  private void reloadIfChanged() {
    try {
      if (!Objects.equals(readLastModified(), lastModified)) {
        reload();
      }
    } catch (RuntimeException e) {
      // An uncaught exception would cancel the schedule, and later changes would not be applied.
      LOG.errorf(e, "settings not reloaded; the file is checked again in %d ms", POLL_INTERVAL_MS);
    }
  }

  private void reload() {
    lastModified = readLastModified();
    Either<List<SettingsError>, ForwardingSettings> result =
        ForwardingSettingsReader.read(file, System.getenv());
    if (result.isLeft()) {
      result
          .getLeft()
          .forEach(
              error ->
                  LOG.errorf(
                      "settings not reloaded, previous settings stay in force: %s",
                      error.message()));
      return;
    }
    LOG.infof("settings reloaded from %s, seeds %s", file, result.get().seeds());
    settingsConsumer.accept(result.get());
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
