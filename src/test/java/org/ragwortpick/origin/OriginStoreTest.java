package org.ragwortpick.origin;

import static org.ragwortpick.origin.OriginTableTest.key;
import static org.ragwortpick.origin.OriginTableTest.origin;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.consensus.storage.Disk;
import org.ragwortpick.consensus.storage.DiskFile;
import org.ragwortpick.consensus.storage.FileDisk;
import org.testng.annotations.Test;

/** Guards against stores that wait for their disk, or forget what it holds. */
public final class OriginStoreTest {

  private static final long LIFETIME_MS = 60_000;
  private static final long WITHIN_MS = 10_000;

  private static OriginStore store(Disk disk) {
    return new OriginStore(disk, new MonotonicClock(), Clock.systemUTC());
  }

  private static void awaitKnown(OriginStore store, String id) throws InterruptedException {
    OriginAnswer expected = new OriginAnswer.Known("4");
    for (long waitedMs = 0; !store.find(key(id)).equals(expected); waitedMs += 20) {
      assertTrue(waitedMs < WITHIN_MS, id + " was not read from the disk");
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  @Test
  public void recordsAreReadBackFromTheDataFolder() throws Exception {
    Path folder = Files.createTempDirectory("stream-origins");
    try (OriginStore store = store(new FileDisk(folder))) {
      store.start();
      store.add(List.of(origin("r1", "4", LIFETIME_MS)));
    }
    try (OriginStore store = store(new FileDisk(folder))) {
      store.start();
      awaitKnown(store, "r1");
    }
  }

  @Test(timeOut = 20_000)
  public void hangingDiskBlocksNobody() throws Exception {
    HangingDisk disk = new HangingDisk();
    OriginStore store = store(disk);
    store.start();
    store.add(List.of(origin("r1", "4", LIFETIME_MS)));
    disk.hanging.await();
    for (int i = 0; i < 3 * OriginFile.MAX_QUEUED; i++) {
      store.add(List.of(origin("s" + i, "4", LIFETIME_MS)));
    }
    assertEquals(store.find(key("s0")), new OriginAnswer.Known("4"));
    store.close();
  }

  /** Disk whose writes never end. */
  private static final class HangingDisk implements Disk {

    private final CountDownLatch hanging = new CountDownLatch(1);

    @Override
    public List<String> list() {
      return List.of();
    }

    @Override
    public byte[] read(String name) throws IOException {
      throw new IOException("no file " + name);
    }

    @Override
    public DiskFile create(String name) {
      return new DiskFile() {
        @Override
        public void append(ByteBuffer bytes) {
          hanging.countDown();
          hang();
        }

        @Override
        public void sync() {
          hang();
        }

        @Override
        public void close() {
          // Nothing to release.
        }
      };
    }

    private static void hang() {
      boolean ended = false;
      while (!ended) {
        try {
          new CountDownLatch(1).await();
          ended = true;
        } catch (InterruptedException e) {
          // A thread that waits for a disk cannot be interrupted.
          ended = false;
        }
      }
    }

    @Override
    public void rename(String from, String to) {
      hang();
    }

    @Override
    public void delete(String name) {
      hang();
    }
  }
}
