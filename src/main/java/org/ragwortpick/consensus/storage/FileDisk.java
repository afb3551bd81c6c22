package org.ragwortpick.consensus.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** {@link Disk} in the file system. */
public final class FileDisk implements Disk {

  private final Path folder;

  /**
   * Opens a folder, or creates it if it is missing.
   *
   * @param folder path of the folder
   * @throws IOException if the folder cannot be created
   */
  public FileDisk(Path folder) throws IOException {
    this.folder = folder;
    if (!Files.isDirectory(folder)) {
      Files.createDirectories(folder);
      Path parent = folder.toAbsolutePath().getParent();
      if (parent != null) {
        syncFolder(parent);
      }
    }
  }

  @Override
  public List<String> list() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(Files::isRegularFile).map(file -> file.getFileName().toString()).toList();
    }
  }

  @Override
  public byte[] read(String name) throws IOException {
    return Files.readAllBytes(folder.resolve(name));
  }

  @Override
  public DiskFile create(String name) throws IOException {
    return new ChannelFile(
        FileChannel.open(
            folder.resolve(name),
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING));
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(
        folder.resolve(from),
        folder.resolve(to),
        StandardCopyOption.ATOMIC_MOVE,
        StandardCopyOption.REPLACE_EXISTING);
    syncFolder(folder);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(folder.resolve(name));
  }

  private static void syncFolder(Path path) throws IOException {
    try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  private static final class ChannelFile implements DiskFile {

    private final FileChannel channel;

    ChannelFile(FileChannel channel) {
      this.channel = channel;
    }

    @Override
    public void append(ByteBuffer bytes) throws IOException {
      while (bytes.hasRemaining()) {
        channel.write(bytes);
      }
    }

    @Override
    public void sync() throws IOException {
      channel.force(false);
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
