package org.ragwortpick.consensus;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.ragwortpick.consensus.storage.Disk;
import org.ragwortpick.consensus.storage.DiskFile;

/** In-memory disk that loses unsynced data in a crash, and can be full or fail syncs. */
public final class FakeDisk implements Disk {

  private final Map<String, FakeFile> files = new TreeMap<>();
  private long freeBytes = Long.MAX_VALUE;
  private boolean failNextSync;
  private boolean refusesChanges;

  public void setFreeBytes(long bytes) {
    freeBytes = bytes;
  }

  /** Refuses each write, and also to create, rename and delete files. */
  public void refuseChanges() {
    refusesChanges = true;
  }

  public void clearFaults() {
    refusesChanges = false;
    freeBytes = Long.MAX_VALUE;
    failNextSync = false;
  }

  public void failNextSync() {
    failNextSync = true;
  }

  /**
   * Loses a random suffix of the unsynced data. Sometimes the remaining part has a hole, as if the
   * pages of one write had reached the disk out of order.
   */
  public void crash(RandomGenerator random) {
    clearFaults();
    files.values().forEach(file -> file.crash(random));
  }

  /** Flips one bit of the last file whose name starts with the prefix. */
  public void corrupt(String prefix, int offset) {
    FakeFile file =
        files.entrySet().stream()
            .filter(entry -> entry.getKey().startsWith(prefix))
            .reduce((first, second) -> second)
            .orElseThrow()
            .getValue();
    byte[] content = file.content();
    content[offset < 0 ? content.length + offset : offset] ^= 1;
    file.replaceContent(content);
  }

  @Override
  public List<String> list() {
    return List.copyOf(files.keySet());
  }

  @Override
  public byte[] read(String name) throws IOException {
    if (!files.containsKey(name)) {
      throw new IOException("no file " + name);
    }
    return files.get(name).content();
  }

  @Override
  public DiskFile create(String name) throws IOException {
    checkChangesAllowed();
    FakeFile file = new FakeFile();
    files.put(name, file);
    return file;
  }

  @Override
  public void rename(String from, String to) throws IOException {
    checkChangesAllowed();
    files.put(to, files.remove(from));
  }

  @Override
  public void delete(String name) throws IOException {
    checkChangesAllowed();
    files.remove(name);
  }

  private void checkChangesAllowed() throws IOException {
    if (refusesChanges) {
      throw new IOException("No space left on device");
    }
  }

  private final class FakeFile implements DiskFile {

    private final ByteArrayOutputStream content = new ByteArrayOutputStream();
    private int syncedBytes;

    byte[] content() {
      return content.toByteArray();
    }

    void replaceContent(byte[] bytes) {
      content.reset();
      content.writeBytes(bytes);
    }

    void crash(RandomGenerator random) {
      byte[] bytes = content();
      int kept = syncedBytes + random.nextInt(bytes.length - syncedBytes + 1);
      if (kept - syncedBytes > 1 && random.nextBoolean()) {
        int hole = syncedBytes + random.nextInt(kept - syncedBytes);
        Arrays.fill(bytes, hole, Math.min(kept, hole + 16), (byte) 0);
      }
      replaceContent(Arrays.copyOf(bytes, kept));
      syncedBytes = kept;
    }

    @Override
    public void append(ByteBuffer bytes) throws IOException {
      checkChangesAllowed();
      int writable = (int) Math.min(freeBytes, bytes.remaining());
      byte[] written = new byte[writable];
      bytes.get(written);
      content.writeBytes(written);
      freeBytes -= writable;
      if (bytes.hasRemaining()) {
        throw new IOException("No space left on device");
      }
    }

    @Override
    public void sync() throws IOException {
      if (failNextSync) {
        failNextSync = false;
        throw new IOException("Input/output error");
      }
      syncedBytes = content.size();
    }

    @Override
    public void close() {
      // Nothing to release.
    }
  }
}
