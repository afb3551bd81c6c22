package org.ragwortpick.vm;

import java.io.IOException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Creates the worker of the entry role, whose one I/O thread holds all state of requests. */
final class EntryWorker {

  private EntryWorker() {}

  /**
   * Creates a worker.
   *
   * @return the worker
   * @throws IOException if its threads cannot be created
   */
  static XnioWorker create() throws IOException {
    return Xnio.getInstance()
        .createWorker(
            OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.TCP_NODELAY, true)
                .getMap());
  }
}
