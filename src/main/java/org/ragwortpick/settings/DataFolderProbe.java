package org.ragwortpick.settings;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;

/** Checks that a data folder allows files to be written and synced to disk. */
public final class DataFolderProbe {

  private static final String PROBE_FILE = ".sync-probe";

  /** Present once a process has written and synced in the folder. */
  private static final String IDENTITY_FILE = "identity.json";

  private DataFolderProbe() {}

  /**
   * Writes, syncs and deletes a small file. A folder that is in use already was checked at its
   * first start: what its disk refuses later is a failure of the disk and not of the settings, and
   * must not keep the process from starting.
   *
   * @param folder data folder; created if it does not exist
   * @return description of the failure, or empty if the folder can be used
   */
  public static Optional<String> check(Path folder) {
    if (Files.exists(folder.resolve(IDENTITY_FILE))) {
      return Optional.empty();
    }
    try {
      Files.createDirectories(folder);
      Path probe = folder.resolve(PROBE_FILE);
      try (FileChannel channel =
          FileChannel.open(probe, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
        channel.write(ByteBuffer.wrap(new byte[] {1}));
        channel.force(true);
      }
      Files.delete(probe);
      return Optional.empty();
    } catch (IOException e) {
      return Optional.of(e.getClass().getSimpleName() + ": " + e.getMessage());
    }
  }
}
