package org.ragwortpick.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.ragwortpick.settings.ForwardingSettings;
import org.ragwortpick.settings.ForwardingSettingsReader;
import org.ragwortpick.settings.SettingsError;
import sun.misc.Signal;

/**
 * Reads the settings again when their file has changed, and at once on SIGHUP, which would end the
 * process otherwise. Settings with faults are logged and not applied.
 */
final class SettingsReload implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(SettingsReload.class);
  private static final String HANG_UP = "HUP";

  /** Interval at which the time of the last change of the file is compared. */
  private static final long POLL_MS = 2_000;

  private final Path file;
  private final Consumer<ForwardingSettings> apply;
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "settings");
            thread.setDaemon(true);
            return thread;
          });
  private FileTime readAt;

  /**
   * Creates the watch; {@link #start} begins it.
   *
   * @param file settings file
   * @param apply takes new settings
   */
  SettingsReload(Path file, Consumer<ForwardingSettings> apply) {
    this.file = file;
    this.apply = apply;
    this.readAt = changedAt();
  }

  /** Begins to watch. */
  void start() {
    Signal.handle(new Signal(HANG_UP), signal -> executor.execute(this::reload));
    executor.scheduleWithFixedDelay(this::reloadIfChanged, POLL_MS, POLL_MS, TimeUnit.MILLISECONDS);
  }

  private FileTime changedAt() {
    try {
      return Files.getLastModifiedTime(file);
    } catch (IOException e) {
      LOG.debugf("%s cannot be examined: %s", file, e.getMessage());
      return readAt;
    }
  }

  private void reloadIfChanged() {
    if (!changedAt().equals(readAt)) {
      reload();
    }
  }

  private void reload() {
    readAt = changedAt();
    Either<List<SettingsError>, ForwardingSettings> read = ForwardingSettingsReader.read(file);
    if (read.isLeft()) {
      read.getLeft().forEach(error -> LOG.errorf("settings not reloaded: %s", error.message()));
      return;
    }
    LOG.infof("settings reloaded from %s, seeds %s", file, read.get().seeds());
    apply.accept(read.get());
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
